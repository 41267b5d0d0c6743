"""Attempts of an idempotent call, repeated until one is answered."""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import ServerId
from ebonystream._timers import Timers
from ebonystream.backend._attempt import Attempt, AttemptKind
from ebonystream.backend._dispatch import Dispatch
from ebonystream.call import Call, CallResponse, make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind

MAX_NOT_RUN_ATTEMPTS = 3
"""Upper bound on the attempts that did not run before one more is made."""

ATTEMPT_ERRORS: Mapping[AttemptKind, ErrorKind] = MappingProxyType(
    {
        AttemptKind.NOT_SENT: ErrorKind.NO_BACKEND,
        AttemptKind.WITHDRAWN: ErrorKind.NO_BACKEND,
        AttemptKind.REFUSED: ErrorKind.REFUSED_BY_BACKEND,
        AttemptKind.INTERRUPTED: ErrorKind.OUTCOME_LOST,
        AttemptKind.ABANDONED: ErrorKind.OUTCOME_LOST,
    }
)
"""The error to answer with, by the kind of the last attempt."""

MAY_HAVE_RUN = frozenset((AttemptKind.INTERRUPTED, AttemptKind.ABANDONED))
"""Kinds of attempts after which the call may have run."""


@attrs.define
class _CallProgress:
    """Progress of one call over its attempts.

    Attributes:
        retries_left: How many more attempts may follow attempts that may have
            run; negative if no further attempt is allowed.
        try_acquire_retry: Takes one retry from the budget and returns whether
            it was granted.
        tried: The servers that the call was sent to.
        not_run_count: Number of attempts that certainly did not run.
        possible_runs: Number of attempts that may have run.
        last_error: Why there is no response so far.
    """

    retries_left: int
    try_acquire_retry: Callable[[], bool]
    tried: set[ServerId] = attrs.field(factory=set)
    not_run_count: int = 0
    possible_runs: int = 0
    last_error: ErrorKind = ErrorKind.NO_BACKEND

    def may_continue(self) -> bool:
        """Return whether one more attempt is allowed."""
        return (
            self.retries_left >= 0
            and self.not_run_count <= MAX_NOT_RUN_ATTEMPTS
        )

    def record(self, attempt: Attempt) -> None:
        """Record an attempt that yielded no response."""
        if attempt.kind in MAY_HAVE_RUN:
            self.possible_runs += 1
            granted = self.retries_left > 0 and self.try_acquire_retry()
            self.retries_left = self.retries_left - 1 if granted else -1
        else:
            self.not_run_count += 1
        self.last_error = ATTEMPT_ERRORS[attempt.kind]


RunExcluding = Callable[[Call, set[ServerId]], Awaitable[CallResponse]]
"""Runs a call on servers outside of the set and adds those that it tries."""


def make_idempotent_run(
    *,
    dispatch: Dispatch,
    timers: Timers,
    get_max_retries: Callable[[Call], int],
    try_acquire_retry: Callable[[], bool],
) -> RunExcluding:
    """Make the function that runs idempotent calls.

    Args:
        dispatch: Makes one attempt.
        timers: Source of the current time, to check the deadline.
        get_max_retries: Returns how many retries a call may make after attempts
            that may have run.
        try_acquire_retry: Takes one such retry from the budget and returns
            whether it was granted.
    """

    async def run(call: Call, tried: set[ServerId]) -> CallResponse:
        progress = _CallProgress(
            get_max_retries(call), try_acquire_retry, tried=tried
        )
        while progress.may_continue() and timers.now() < call.deadline:
            try:
                attempt = await dispatch(call, progress.tried)
            except EbonystreamError as error:
                return make_error_response(
                    error, certain=progress.possible_runs == 0
                )
            if attempt.response is not None:
                return attempt.response
            progress.record(attempt)
        expired = timers.now() >= call.deadline
        kind = ErrorKind.DEADLINE_EXPIRED if expired else progress.last_error
        return make_error_response(
            EbonystreamError(kind), certain=progress.possible_runs == 0
        )

    return run
