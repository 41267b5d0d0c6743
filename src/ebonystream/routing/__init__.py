"""The routing aggregate: which slot of which server a call gets, and when."""

from ebonystream.routing._choice import (
    Choice,
    make_choosing,
)
from ebonystream.routing._exchange import (
    SlotExchange,
)
from ebonystream.routing._peers import (
    SlotPeer,
)
from ebonystream.routing._placing import (
    abandon,
    join,
    make_learning,
    make_placing,
)
from ebonystream.routing._reason import ChoiceReason
from ebonystream.routing._registry import RETURNED, SlotRegistry
from ebonystream.routing._service import (
    ServiceSlots,
)
from ebonystream.routing._shedding import (
    ShedCalls,
    make_shedding,
)
from ebonystream.routing._slots import (
    HeldSlots,
    Slot,
)
from ebonystream.routing._waiting import (
    Waiting,
)

__all__ = (
    'RETURNED',
    'Choice',
    'ChoiceReason',
    'HeldSlots',
    'ServiceSlots',
    'ShedCalls',
    'Slot',
    'SlotExchange',
    'SlotPeer',
    'SlotRegistry',
    'Waiting',
    'abandon',
    'join',
    'make_choosing',
    'make_learning',
    'make_placing',
    'make_shedding',
)
