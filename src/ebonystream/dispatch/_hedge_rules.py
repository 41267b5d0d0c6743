"""State and callbacks of hedging on an entry host."""

import enum
from collections.abc import Callable

import attrs

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import MIN_EXPECTED_DURATION, Attempt
from ebonystream.hedging import (
    HedgeBudget,
    HedgeRefusal,
    Lateness,
    LatenessEstimate,
)
from ebonystream.placement import Candidate, FindIdleServer
from ebonystream.request import Request
from ebonystream.route import Route


class HedgeEnd(enum.Enum):
    """How a hedge ended."""

    WON = 'won'
    """Its response was the first that was served."""

    LOST = 'lost'
    """The first attempt was served before, or the hedge failed."""

    CANCELLED = 'cancelled'
    """The deadline passed, or the caller disconnected."""


@attrs.frozen(kw_only=True)
class HedgeDecision:
    """A late attempt, and what was decided.

    Attributes:
        candidate: Server of the first attempt.
        estimate: What lateness the decision follows from.
        waited: Time since the first attempt was sent, in seconds.
        hedge: Server of the hedge; None if there is none.
        refusal: Why there is none; None if there is one.
    """

    candidate: Candidate
    estimate: LatenessEstimate
    waited: Seconds
    hedge: Candidate | None = None
    refusal: HedgeRefusal | None = None


ObserveDecision = Callable[[Request, Route, HedgeDecision], None]
"""Called with each decision about a late attempt."""

ObserveHedgeEnd = Callable[[Request, Route, HedgeDecision, HedgeEnd], None]
"""Called when a hedge has ended."""


@attrs.frozen(kw_only=True)
class HedgeRules:
    """State and callbacks of hedging on this host.

    Attributes:
        lateness: How late recent responses were.
        budget: Limit on hedges.
        find_idle_server: Finds the server of a hedge.
        observe_decision: Called with each decision about a late attempt.
        observe_end: Called when a hedge has ended.
    """

    budget: HedgeBudget
    find_idle_server: FindIdleServer
    observe_decision: ObserveDecision
    observe_end: ObserveHedgeEnd
    lateness: Lateness = attrs.field(factory=Lateness)


def get_expected(candidate: Candidate) -> Seconds:
    """Return the expected latency that lateness is relative to.

    Args:
        candidate: Server of the attempt.
    """
    return max(candidate.expected_latency, MIN_EXPECTED_DURATION)


def compute_ratio(attempt: Attempt) -> float:
    """Compute the ratio of the duration of an attempt to the expected one.

    Args:
        attempt: The attempt.
    """
    return attempt.duration / get_expected(attempt.candidate)
