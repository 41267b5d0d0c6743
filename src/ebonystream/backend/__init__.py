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
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import (
    Dispatch,
    Observe,
    Place,
    Send,
    make_dispatch,
)
from ebonystream.backend._routing import make_placing, release_place
from ebonystream.backend._server import BackendServer, ServerAddress

__all__ = (
    'ABANDONED',
    'CUT',
    'FAILURES',
    'MAY_HAVE_RUN',
    'NOT_SENT',
    'Attempt',
    'AttemptKind',
    'BackendServer',
    'Directory',
    'Dispatch',
    'LoadReport',
    'Observe',
    'Place',
    'Send',
    'ServerAddress',
    'ServerState',
    'make_dispatch',
    'make_idempotent_run',
    'make_placing',
    'release_place',
)
