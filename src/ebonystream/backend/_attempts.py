"""Attempts of an idempotent call until one is answered."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import ServerId
from ebonystream._timers import Timers
from ebonystream.backend._attempt import Attempt, AttemptKind
from ebonystream.backend._dispatch import Dispatch
from ebonystream.call import Answer, Call, refuse
from ebonystream.errors import EbonystreamError, ErrorKind

MAX_REFUSALS = 3

FAILURES: Mapping[AttemptKind, ErrorKind] = MappingProxyType(
    {
        AttemptKind.NOT_SENT: ErrorKind.NO_BACKEND,
        AttemptKind.WITHDRAWN: ErrorKind.NO_BACKEND,
        AttemptKind.REFUSED: ErrorKind.REFUSED_BY_BACKEND,
        AttemptKind.CUT: ErrorKind.OUTCOME_LOST,
        AttemptKind.ABANDONED: ErrorKind.OUTCOME_LOST,
    }
)
"""What is answered where an attempt that ended so was the last."""

MAY_HAVE_RUN = frozenset((AttemptKind.CUT, AttemptKind.ABANDONED))
"""Ends after which the call may have run."""


@attrs.define
class _Tries:
    """What was tried for one call.

    Attributes:
        retries: How many attempts that may have run may still be repeated.
        spend_retry: Takes one such repetition out of the budget.
        servers: Where it was sent.
        refusals: How many servers did no work on it.
        cuts: How many attempts may have run.
        last: Why there is no answer so far.
    """

    retries: int
    spend_retry: Callable[[], bool]
    servers: set[ServerId] = attrs.field(factory=set)
    refusals: int = 0
    cuts: int = 0
    last: ErrorKind = ErrorKind.NO_BACKEND

    def may_go_on(self) -> bool:
        """Tell whether one more attempt is allowed."""
        return self.retries >= 0 and self.refusals <= MAX_REFUSALS

    def record(self, attempt: Attempt) -> None:
        """Note one attempt that brought no answer."""
        if attempt.kind in MAY_HAVE_RUN:
            self.cuts += 1
            may_repeat = self.retries > 0 and self.spend_retry()
            self.retries = self.retries - 1 if may_repeat else -1
        else:
            self.refusals += 1
        self.last = FAILURES[attempt.kind]


RunApart = Callable[[Call, set[ServerId]], Awaitable[Answer]]
"""Runs a call on servers that are not in the set, and adds those it tries."""


def make_idempotent_run(
    *,
    dispatch: Dispatch,
    timers: Timers,
    count_retries: Callable[[Call], int],
    spend_retry: Callable[[], bool],
) -> RunApart:
    """Make the function that runs idempotent calls.

    Args:
        dispatch: Makes one attempt.
        timers: Tells when the deadline has passed.
        count_retries: How many attempts that may have run are repeated.
        spend_retry: Takes one such repetition out of the budget.
    """

    async def run(call: Call, tried: set[ServerId]) -> Answer:
        tries = _Tries(count_retries(call), spend_retry, servers=tried)
        while tries.may_go_on() and timers.now() < call.deadline:
            try:
                attempt = await dispatch(call, tries.servers)
            except EbonystreamError as error:
                return refuse(error, certain=tries.cuts == 0)
            if attempt.answer is not None:
                return attempt.answer
            tries.record(attempt)
        expired = timers.now() >= call.deadline
        kind = ErrorKind.DEADLINE_EXPIRED if expired else tries.last
        return refuse(EbonystreamError(kind), certain=tries.cuts == 0)

    return run
