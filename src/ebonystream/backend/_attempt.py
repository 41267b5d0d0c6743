"""What came of sending a call to one backend server."""

import enum

import attrs

from ebonystream._ids import BootId
from ebonystream.call import Answer


class AttemptKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    """The whole answer came."""

    NOT_SENT = 'not_sent'
    """No byte was sent: the call did not run there."""

    WITHDRAWN = 'withdrawn'
    """This host kept the call back although it had its place there."""

    REFUSED = 'refused'
    """The server itself says that it did no work on the call."""

    CUT = 'cut'
    """The connection broke after bytes were sent: the call may have run."""

    ABANDONED = 'abandoned'
    """This host stopped waiting, by deadline or cancel: it may have run."""


class ServerState(enum.Enum):
    """What a backend server says of itself; it may mislead."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'


@attrs.frozen
class LoadReport:
    """What a backend server said of itself on one answer.

    Attributes:
        state: The state it reports.
        boot: Which run of the server answered, if it said.
        in_flight: Calls it had in hand beside this one, if it said.
    """

    state: ServerState
    boot: BootId | None
    in_flight: int | None


@attrs.frozen
class Attempt:
    """The end of one attempt.

    Attributes:
        kind: How it ended.
        answer: The server's answer; there only for `AttemptKind.ANSWERED`.
        report: What the server said of itself, where an answer came.
    """

    kind: AttemptKind
    answer: Answer | None = None
    report: LoadReport | None = None


NOT_SENT = Attempt(AttemptKind.NOT_SENT)
"""An attempt that found no connection."""

WITHDRAWN = Attempt(AttemptKind.WITHDRAWN)
"""An attempt that was given up before anything was sent."""

CUT = Attempt(AttemptKind.CUT)
"""An attempt whose connection broke."""

ABANDONED = Attempt(AttemptKind.ABANDONED)
"""An attempt that this host stopped waiting for."""
