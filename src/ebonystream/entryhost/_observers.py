"""What each attempt teaches this host, and its log line."""

from functools import partial

from ebonystream.dispatch import Attempt, Observe
from ebonystream.entryhost._moving import count_attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.link import Refused
from ebonystream.placement import Sighting
from ebonystream.request import Request, Verdict
from ebonystream.roster import LoadReport
from ebonystream.route import Route

UNREACHABLE_WEIGHT = 2
SPOILED_WEIGHT = 1
FAILED_WEIGHT = 0.7
REFUSED_WEIGHT = 0.3


def make_observers(parts: HostParts) -> tuple[Observe, ...]:
    """Make the functions that are told of each attempt.

    Args:
        parts: The state of the host.
    """

    def learn(request: Request, route: Route, attempt: Attempt) -> None:
        server = attempt.offer.sighting.server
        now = parts.timers.now()
        answer = attempt.answer
        if answer is None:
            server.count_failure(now, _weigh_end(attempt))
            return
        if answer.verdict is Verdict.SERVED:
            pace = _get_pace(attempt.offer.sighting)
            parts.work_times.learn(route, attempt.took, pace)
        elif answer.verdict is Verdict.MISDIRECTED:
            server.leaving = True
        elif answer.verdict is Verdict.NOT_RUN:
            server.count_failure(now, REFUSED_WEIGHT)
        else:
            server.count_failure(now, FAILED_WEIGHT)

    def write(request: Request, route: Route, attempt: Attempt) -> None:
        sighting = attempt.offer.sighting
        parts.note(
            'attempt',
            id=request.attempt,
            route=route.name,
            server=sighting.server.entry.id,
            ended=attempt.describe(),
            took_ms=_to_ms(attempt.took),
            expected_ms=_to_ms(attempt.offer.expected),
            asked=attempt.offer.asked,
            load=_describe_load(sighting),
        )

    return (learn, write, partial(count_attempt, parts))


def _weigh_end(attempt: Attempt) -> float:
    """Weigh an attempt without an answer as a failure of its server."""
    if attempt.refused is Refused.UNREACHABLE:
        return UNREACHABLE_WEIGHT
    if attempt.refused is Refused.CUT or attempt.is_overdue():
        return SPOILED_WEIGHT
    return 0


def _get_pace(sighting: Sighting) -> float:
    load = sighting.report.load if sighting.report else None
    return load.pace if load else 1


def _describe_load(sighting: Sighting) -> str:
    load: LoadReport | None = sighting.report.load if sighting.report else None
    if load is None:
        return 'untold'
    return f'{load.running},{load.waiting},{load.slots},{load.pace}'


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
