"""The backend server aggregate: state, limits and attempts of servers."""

from ebonystream._address import ServerAddress
from ebonystream.backend._attempt import (
    ABANDONED,
    CUT,
    NOT_SENT,
    WITHDRAWN,
    Attempt,
    AttemptKind,
    LoadReport,
    ServerState,
)
from ebonystream.backend._attempts import (
    FAILURES,
    MAY_HAVE_RUN,
    RunApart,
    make_idempotent_run,
)
from ebonystream.backend._cold import (
    StartingRules,
    check_starting,
    make_starting_begin,
    make_starting_gate,
)
from ebonystream.backend._directory import (
    Directory,
)
from ebonystream.backend._dispatch import (
    Begin,
    Dispatch,
    MayTake,
    Observe,
    Place,
    Send,
    make_dispatch,
)
from ebonystream.backend._evidence import (
    FAILURE_RATIO,
    Evidence,
    UsualTimes,
)
from ebonystream.backend._growth import (
    ANSWERS_PER_STEP,
    COLD_LIMIT,
    FIRST_ANSWERS,
)
from ebonystream.backend._hedging import make_hedged_run
from ebonystream.backend._learning import (
    chill_zone,
    make_starting_observer,
)
from ebonystream.backend._leaving import (
    LEAVING_BOUND,
)
from ebonystream.backend._server import BackendServer
from ebonystream.backend._sponsor import (
    HANDOVER,
    IsSponsor,
    Sponsorship,
)
from ebonystream.backend._standing import (
    Standing,
    StandingExchange,
    TakeReport,
    make_report_taker,
)
from ebonystream.backend._wants import WANT_LENGTH, Wants, note_wants
from ebonystream.backend._warmth import (
    ServerPhase,
    Warmth,
)

__all__ = (
    'ABANDONED',
    'ANSWERS_PER_STEP',
    'COLD_LIMIT',
    'CUT',
    'FAILURES',
    'FAILURE_RATIO',
    'FIRST_ANSWERS',
    'HANDOVER',
    'LEAVING_BOUND',
    'MAY_HAVE_RUN',
    'NOT_SENT',
    'WANT_LENGTH',
    'WITHDRAWN',
    'Attempt',
    'AttemptKind',
    'BackendServer',
    'Begin',
    'Directory',
    'Dispatch',
    'Evidence',
    'IsSponsor',
    'LoadReport',
    'MayTake',
    'Observe',
    'Place',
    'RunApart',
    'Send',
    'ServerAddress',
    'ServerPhase',
    'ServerState',
    'Sponsorship',
    'Standing',
    'StandingExchange',
    'StartingRules',
    'TakeReport',
    'UsualTimes',
    'Wants',
    'Warmth',
    'check_starting',
    'chill_zone',
    'make_dispatch',
    'make_hedged_run',
    'make_idempotent_run',
    'make_report_taker',
    'make_starting_begin',
    'make_starting_gate',
    'make_starting_observer',
    'note_wants',
)
