"""The configuration aggregate: the operators' two lists and their versions."""

from ebonystream.configuration._control import Control
from ebonystream.configuration._lists import (
    CustomerPlan,
    Lists,
    PlanAllowance,
    PlanClass,
    Route,
)
from ebonystream.configuration._publishing import (
    PublishLists,
    make_publishing,
)
from ebonystream.configuration._records import ControlRecord, Publish
from ebonystream.configuration._table import PlanTable, index_lists
from ebonystream.configuration._tail import tail_stream

__all__ = (
    'Control',
    'ControlRecord',
    'CustomerPlan',
    'Lists',
    'PlanAllowance',
    'PlanClass',
    'PlanTable',
    'Publish',
    'PublishLists',
    'Route',
    'index_lists',
    'make_publishing',
    'tail_stream',
)
