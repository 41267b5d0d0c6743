"""The result of sending a call to one backend server."""

import enum

import attrs

from ebonystream._ids import BootId
from ebonystream.call import CallResponse


class AttemptKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    """The server sent a complete response."""

    NOT_SENT = 'not_sent'
    """No connection was available, so the call did not run."""

    WITHDRAWN = 'withdrawn'
    """This host did not send the call, although it had placed it."""

    REFUSED = 'refused'
    """The server reported that it did no work on the call."""

    INTERRUPTED = 'cut'
    """The connection failed after bytes were sent: the call may have run."""

    ABANDONED = 'abandoned'
    """This host stopped waiting, at the deadline or on cancellation; the call
    may have run."""


class ServerState(enum.Enum):
    """State that a backend server reports of itself; it may be wrong."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'


@attrs.frozen
class LoadReport:
    """What a backend server reported of itself with one response.

    Attributes:
        state: The reported state.
        boot: The boot id of the incarnation that answered; None if not
            reported.
        in_flight: Number of other calls in flight at the server; None if not
            reported.
    """

    state: ServerState
    boot: BootId | None
    in_flight: int | None


@attrs.frozen
class Attempt:
    """The result of one attempt.

    Attributes:
        kind: How it ended.
        response: The server's response; None unless the kind is
            `AttemptKind.ANSWERED`.
        report: What the server reported of itself; None if it sent nothing.
    """

    kind: AttemptKind
    response: CallResponse | None = None
    report: LoadReport | None = None


NOT_SENT = Attempt(AttemptKind.NOT_SENT)
"""An attempt for which no connection was available."""

WITHDRAWN = Attempt(AttemptKind.WITHDRAWN)
"""An attempt that was cancelled before anything was sent."""

INTERRUPTED = Attempt(AttemptKind.INTERRUPTED)
"""An attempt whose connection failed."""

ABANDONED = Attempt(AttemptKind.ABANDONED)
"""An attempt that this host stopped waiting for."""
