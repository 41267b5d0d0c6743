"""The configuration aggregate: the operators' two lists and their versions.

It owns the control stream: the fold takes publishes itself and hands records
of moves to the move aggregate.
"""

from ebonystream.configuration._asking import Ask, make_asking
from ebonystream.configuration._checkpointing import write_checkpoints
from ebonystream.configuration._control import Control
from ebonystream.configuration._decisions import Decision
from ebonystream.configuration._lists import (
    CustomerPlan,
    Lists,
    Method,
    PlanAllowance,
    PlanClass,
    Route,
)
from ebonystream.configuration._progress import Following
from ebonystream.configuration._publishing import (
    PublishLists,
    make_publishing,
)
from ebonystream.configuration._records import (
    Asked,
    Checkpoint,
    ControlRecord,
    ControlState,
    Publish,
)
from ebonystream.configuration._settling import settle_control
from ebonystream.configuration._table import PlanTable, index_lists
from ebonystream.configuration._tail import tail_pages, take_each

__all__ = (
    'Ask',
    'Asked',
    'Checkpoint',
    'Control',
    'ControlRecord',
    'ControlState',
    'CustomerPlan',
    'Decision',
    'Following',
    'Lists',
    'Method',
    'PlanAllowance',
    'PlanClass',
    'PlanTable',
    'Publish',
    'PublishLists',
    'Route',
    'index_lists',
    'make_asking',
    'make_publishing',
    'settle_control',
    'tail_pages',
    'take_each',
    'write_checkpoints',
)
