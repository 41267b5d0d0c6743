"""The routing aggregate: which slot of which server a call gets, and when."""

from ebonystream.routing._choice import (
    Choice,
    make_choose_slot,
)
from ebonystream.routing._exchange import (
    SlotExchange,
)
from ebonystream.routing._peers import (
    SlotPeer,
)
from ebonystream.routing._placing import (
    cancel_wait,
    enqueue_call,
    make_place_call,
    make_slot_observer,
)
from ebonystream.routing._reason import ChoiceReason
from ebonystream.routing._registry import RETURN_MARKER, SlotRegistry
from ebonystream.routing._service import (
    ServiceSlots,
)
from ebonystream.routing._shedding import (
    ShedCalls,
    make_shed_calls,
)
from ebonystream.routing._slots import (
    HeldSlots,
    Slot,
)
from ebonystream.routing._waiting import (
    Waiter,
)

__all__ = (
    'RETURN_MARKER',
    'Choice',
    'ChoiceReason',
    'HeldSlots',
    'ServiceSlots',
    'ShedCalls',
    'Slot',
    'SlotExchange',
    'SlotPeer',
    'SlotRegistry',
    'Waiter',
    'cancel_wait',
    'enqueue_call',
    'make_choose_slot',
    'make_slot_observer',
    'make_place_call',
    'make_shed_calls',
)
