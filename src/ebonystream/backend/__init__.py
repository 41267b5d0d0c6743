"""The backend server aggregate: state, limits and attempts of servers."""

from ebonystream._address import ServerAddress
from ebonystream.backend._attempt import (
    ABANDONED,
    INTERRUPTED,
    NOT_SENT,
    WITHDRAWN,
    Attempt,
    AttemptKind,
    LoadReport,
    ServerState,
)
from ebonystream.backend._attempts import (
    ATTEMPT_ERRORS,
    MAY_HAVE_RUN,
    RunExcluding,
    make_idempotent_run,
)
from ebonystream.backend._cold import (
    StartingRules,
    assert_starting_limits,
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
from ebonystream.backend._hedging import make_basic_figures, make_hedged_run
from ebonystream.backend._learning import (
    make_starting_observer,
    mark_zone_cold,
)
from ebonystream.backend._leaving import (
    MAX_LEAVING_DELAY,
)
from ebonystream.backend._lifecycle import (
    ServerLifecycle,
    ServerPhase,
)
from ebonystream.backend._ramp_up import (
    COLD_LIMIT,
    RESPONSES_PER_STEP,
    RESPONSES_TO_FIRST_STEP,
)
from ebonystream.backend._relative_latency import (
    FAILURE_RATIO,
    RelativeLatency,
    UsualLatencies,
)
from ebonystream.backend._server import BackendServer
from ebonystream.backend._sponsor import (
    HANDOVER_WAIT,
    IsSponsor,
    Sponsorship,
)
from ebonystream.backend._standing import (
    RecordProbe,
    Standing,
    StandingExchange,
    make_probe_recorder,
)
from ebonystream.backend._wants import (
    WANTED_WINDOW,
    WantedServers,
    make_recording_place,
)

__all__ = (
    'ABANDONED',
    'RESPONSES_PER_STEP',
    'RESPONSES_TO_FIRST_STEP',
    'ATTEMPT_ERRORS',
    'COLD_LIMIT',
    'FAILURE_RATIO',
    'HANDOVER_WAIT',
    'INTERRUPTED',
    'MAX_LEAVING_DELAY',
    'MAY_HAVE_RUN',
    'NOT_SENT',
    'WANTED_WINDOW',
    'WITHDRAWN',
    'Attempt',
    'AttemptKind',
    'BackendServer',
    'Begin',
    'Directory',
    'Dispatch',
    'IsSponsor',
    'LoadReport',
    'MayTake',
    'Observe',
    'Place',
    'RecordProbe',
    'RelativeLatency',
    'RunExcluding',
    'Send',
    'ServerAddress',
    'ServerLifecycle',
    'ServerPhase',
    'ServerState',
    'Sponsorship',
    'Standing',
    'StandingExchange',
    'StartingRules',
    'UsualLatencies',
    'WantedServers',
    'assert_starting_limits',
    'make_dispatch',
    'make_basic_figures',
    'make_hedged_run',
    'make_idempotent_run',
    'make_probe_recorder',
    'make_recording_place',
    'make_starting_begin',
    'make_starting_gate',
    'make_starting_observer',
    'mark_zone_cold',
)
