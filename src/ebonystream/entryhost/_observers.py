"""What each attempt teaches this host, and its log line."""

from functools import partial

from ebonystream.dispatch import Attempt, ObserveAttempt
from ebonystream.entryhost._crashes import note_cut
from ebonystream.entryhost._lines import note_attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._version_moves import record_move_attempt
from ebonystream.link import ExchangeFailure
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, ResponseVerdict
from ebonystream.roster import HealthReport
from ebonystream.route import Route

UNREACHABLE_WEIGHT = 2
SPOILED_WEIGHT = 1
FAILED_WEIGHT = 0.7
REFUSED_WEIGHT = 0.3


def make_observers(parts: HostParts) -> tuple[ObserveAttempt, ...]:
    """Make the functions that are told of each attempt.

    Args:
        parts: The state of the host.
    """
    learn = [
        partial(one, parts) for one in (_learn, record_move_attempt, note_cut)
    ]
    tell = (partial(note_attempt, parts), parts.metrics.count_attempt)
    return (*learn, *tell, partial(_offer_freed, parts))


def _learn(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    server = attempt.offer.probe_result.server
    now = parts.timers.now()
    answer = attempt.response
    if answer is None:
        server.record_failure(now, _weigh_end(attempt))
        return
    if answer.verdict is ResponseVerdict.SERVED:
        if attempt.offer.has_free_slot:
            slowdown = attempt.offer.slowdown
            parts.work_times.record(route, attempt.duration, slowdown)
    elif answer.verdict is ResponseVerdict.MISDIRECTED:
        server.leaving = True
    elif answer.verdict is ResponseVerdict.NOT_RUN:
        server.record_failure(now, REFUSED_WEIGHT)
    else:
        server.record_failure(now, FAILED_WEIGHT)


def _offer_freed(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Offer the server, which has just come free, to who waits for it."""
    answer = attempt.response
    if answer is None or answer.load is None or not attempt.is_served():
        return
    # The load on an answer counts the answered request itself.
    report = HealthReport(
        healthy=True,
        server_id=None,
        cold_left=None,
        load=answer.load.with_one_completed(),
    )
    server = attempt.offer.probe_result.server
    if server.is_usable(parts.timers.now()):
        parts.lines.offer_server(
            ProbeResult(server, report, parts.timers.now())
        )


def _weigh_end(attempt: Attempt) -> float:
    """Weigh an attempt without an answer as a failure of its server."""
    if attempt.failure is ExchangeFailure.UNREACHABLE:
        return UNREACHABLE_WEIGHT
    if attempt.failure is ExchangeFailure.INTERRUPTED or attempt.is_overdue():
        return SPOILED_WEIGHT
    return 0
