"""The configuration aggregate: the operators' two lists and their versions.

It owns the control stream of the log. Publishes of the lists are applied here;
records of moves are passed to the move aggregate.
"""

from ebonystream.configuration._catch_up import mark_caught_up_with_peers
from ebonystream.configuration._checkpointing import write_checkpoints
from ebonystream.configuration._control import ControlReplica
from ebonystream.configuration._decisions import Decision
from ebonystream.configuration._lists import (
    CustomerPlan,
    Method,
    PlanAllowance,
    PlanClass,
    PlanLists,
    Route,
)
from ebonystream.configuration._progress import Following
from ebonystream.configuration._publishing import (
    PublishLists,
    make_publish_lists,
)
from ebonystream.configuration._records import (
    Checkpoint,
    ControlRecord,
    Publish,
    RequestRecord,
    SerializedState,
)
from ebonystream.configuration._submission import (
    SubmitRecord,
    make_submit_record,
)
from ebonystream.configuration._table import PlanTable, make_plan_table
from ebonystream.configuration._tail import make_apply_page, tail_pages

__all__ = (
    'SubmitRecord',
    'RequestRecord',
    'Checkpoint',
    'ControlReplica',
    'ControlRecord',
    'SerializedState',
    'CustomerPlan',
    'Decision',
    'Following',
    'PlanLists',
    'Method',
    'PlanAllowance',
    'PlanClass',
    'PlanTable',
    'Publish',
    'PublishLists',
    'Route',
    'make_plan_table',
    'make_submit_record',
    'make_publish_lists',
    'mark_caught_up_with_peers',
    'tail_pages',
    'make_apply_page',
    'write_checkpoints',
)
