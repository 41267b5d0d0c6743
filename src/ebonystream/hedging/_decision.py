"""The decision whether a late request is hedged; shared by both front ends.

The load that it addresses: single servers that turn slow while a request runs.
Where all servers are slow, a second attempt only adds load; the conditions here
and the budgets keep it from doing so.
"""

import enum

import attrs

from ebonystream._ids import Seconds


class HedgeRefusal(enum.Enum):
    """Why a late request is not hedged."""

    NOT_REPEATABLE = 'not_repeatable'
    """It may run at most once."""

    NOT_SENT = 'not_sent'
    """It still waits for a server; a second attempt would only wait twice."""

    ATTEMPTS = 'attempts'
    """It has had as many attempts as its route allows."""

    TOO_LATE = 'too_late'
    """A second attempt is not expected to end before the deadline."""

    SHORTAGE = 'shortage'
    """Requests wait for capacity, or no server would start it at once."""

    LIMIT = 'limit'
    """The limit on hedges is used up."""

    RETRY_BUDGET = 'retry_budget'
    """The budget of retries is used up."""

    NOT_PERMITTED = 'not_permitted'
    """It may not be forwarded any more, such as with a withdrawn key."""


@attrs.frozen(kw_only=True)
class HedgeFigures:
    """What a late request is judged by.

    Attributes:
        repeatable: Whether the request may run more than once.
        sent: Whether the running attempt has been sent to a server.
        attempts_left: Further attempts that the route of the request allows.
        expected: Expected latency of a second attempt, in seconds.
        time_left: Time until the deadline, in seconds.
        is_short: Whether the service is short of capacity.
        within_limit: Whether the limit on hedges allows one.
    """

    repeatable: bool = True
    sent: bool = True
    attempts_left: float
    expected: Seconds
    time_left: Seconds
    is_short: bool
    within_limit: bool


def compute_hedge_delay(expected: Seconds, lateness: float) -> Seconds:
    """Compute after which time a running attempt is hedged.

    Args:
        expected: Expected latency of the attempt, in seconds.
        lateness: Multiple of it from which on an attempt is late.
    """
    return Seconds(lateness * expected)


def find_refusal(figures: HedgeFigures) -> HedgeRefusal | None:
    """Return why a late request is not hedged; None if it may be.

    Args:
        figures: What the request is judged by.
    """
    conditions = (
        (figures.repeatable, HedgeRefusal.NOT_REPEATABLE),
        (figures.sent, HedgeRefusal.NOT_SENT),
        (figures.attempts_left >= 1, HedgeRefusal.ATTEMPTS),
        (figures.expected < figures.time_left, HedgeRefusal.TOO_LATE),
        (not figures.is_short, HedgeRefusal.SHORTAGE),
        (figures.within_limit, HedgeRefusal.LIMIT),
    )
    for is_met, refusal in conditions:
        if not is_met:
            return refusal
    return None
