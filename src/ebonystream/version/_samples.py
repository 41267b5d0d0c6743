"""Samples of a version, made from the results of attempts."""

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

FAILED_SAMPLE = Sample(failed=True, duration=None)

FAILED_KINDS = frozenset((AttemptKind.NOT_SENT, AttemptKind.INTERRUPTED))
"""Kinds of attempt that always count as failures of the version."""


def make_sample(
    server: BackendServer, attempt: Attempt, duration: Seconds, *, expired: bool
) -> Sample | None:
    """Make a sample; None if the attempt is no evidence about the version.

    The duration of an attempt counts only if its server is warm.

    Args:
        server: The server that the attempt was made at.
        attempt: The result of the attempt.
        duration: The duration of the attempt, in seconds.
        expired: Whether the deadline of the call has passed.
    """
    if attempt.response is not None:
        failed = attempt.response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        serving = server.lifecycle.phase is ServerPhase.SERVING
        return Sample(failed=failed, duration=duration if serving else None)
    failed = (
        attempt.kind in FAILED_KINDS
        or (attempt.kind is AttemptKind.ABANDONED and expired)
        or _is_refused_while_serving(attempt)
    )
    return FAILED_SAMPLE if failed else None


def _is_refused_while_serving(attempt: Attempt) -> bool:
    if attempt.kind is not AttemptKind.REFUSED:
        return False
    report = attempt.report
    return report is None or report.state is ServerState.SERVING
