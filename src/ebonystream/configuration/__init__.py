"""The configuration aggregate: the operators' two lists and their versions.

It owns the control stream of the log. Publishes of the lists are applied here;
records of moves are passed to the move aggregate.
"""

from ebonystream.configuration._catch_up import settle_control
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
    Checkpoint,
    ControlRecord,
    Publish,
    RequestRecord,
    SerializedState,
)
from ebonystream.configuration._submission import Ask, make_asking
from ebonystream.configuration._table import PlanTable, index_lists
from ebonystream.configuration._tail import tail_pages, take_each

__all__ = (
    'Ask',
    'RequestRecord',
    'Checkpoint',
    'Control',
    'ControlRecord',
    'SerializedState',
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
