"""What one attempt says of the version that its server runs."""

from http import HTTPStatus

from ebonystream._ids import Seconds
from ebonystream.backend import (
    Attempt,
    AttemptKind,
    BackendServer,
    ServerPhase,
    ServerState,
)
from ebonystream.version._groups import Sample

FAILED = Sample(failed=True, took=None)

FAILURES = frozenset((AttemptKind.NOT_SENT, AttemptKind.INTERRUPTED))
"""Ends of an attempt that count against a version whatever else is known."""


def make_sample(
    server: BackendServer, attempt: Attempt, took: Seconds, *, expired: bool
) -> Sample | None:
    """Tell how an attempt went; None where it says nothing of the version.

    Args:
        server: Where it was made.
        attempt: How it ended.
        took: How long it took, in seconds.
        expired: Whether the deadline of the call has passed.
    """
    if attempt.answer is not None:
        failed = attempt.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        serving = server.lifecycle.phase is ServerPhase.SERVING
        return Sample(failed=failed, took=took if serving else None)
    failed = (
        attempt.kind in FAILURES
        or (attempt.kind is AttemptKind.ABANDONED and expired)
        or _is_plain_refusal(attempt)
    )
    return FAILED if failed else None


def _is_plain_refusal(attempt: Attempt) -> bool:
    if attempt.kind is not AttemptKind.REFUSED:
        return False
    report = attempt.report
    return report is None or report.state is ServerState.SERVING
