"""The backend server aggregate: what a server is, bears, and is sent."""

from ebonystream.backend._attempt import (
    ABANDONED,
    CUT,
    NOT_SENT,
    Attempt,
    AttemptKind,
    LoadReport,
    ServerState,
)
from ebonystream.backend._attempts import (
    FAILURES,
    MAY_HAVE_RUN,
    make_idempotent_run,
)
from ebonystream.backend._choice import (
    Choice,
    ChoiceReason,
    MayTake,
    make_choosing,
)
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import (
    Dispatch,
    Observe,
    Place,
    Send,
    make_dispatch,
)
from ebonystream.backend._evidence import Evidence, UsualTimes
from ebonystream.backend._exchange import SlotExchange
from ebonystream.backend._peers import SlotPeer
from ebonystream.backend._registry import SlotRegistry
from ebonystream.backend._routing import (
    abandon,
    join,
    make_learning,
    make_placing,
)
from ebonystream.backend._server import BackendServer, ServerAddress
from ebonystream.backend._shedding import Shed, make_shedding
from ebonystream.backend._slots import HeldSlots, Slot
from ebonystream.backend._waiting import Waiting

__all__ = (
    'ABANDONED',
    'Attempt',
    'AttemptKind',
    'BackendServer',
    'CUT',
    'Choice',
    'ChoiceReason',
    'Directory',
    'Dispatch',
    'Evidence',
    'FAILURES',
    'HeldSlots',
    'LoadReport',
    'MAY_HAVE_RUN',
    'MayTake',
    'NOT_SENT',
    'Observe',
    'Place',
    'Send',
    'ServerAddress',
    'ServerState',
    'Shed',
    'Slot',
    'SlotExchange',
    'SlotPeer',
    'SlotRegistry',
    'UsualTimes',
    'Waiting',
    'abandon',
    'join',
    'make_choosing',
    'make_dispatch',
    'make_idempotent_run',
    'make_learning',
    'make_placing',
    'make_shedding',
)
