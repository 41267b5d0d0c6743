"""What each attempt teaches this host, and its log line."""

from functools import partial

from ebonystream.dispatch import Attempt, Observe
from ebonystream.entryhost._moving import count_attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.link import Refused
from ebonystream.placement import NoRoom, Sighting
from ebonystream.request import Request, Verdict
from ebonystream.roster import HealthReport, LoadReport
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
            if attempt.offer.free:
                slowdown = attempt.offer.slowdown
                parts.work_times.learn(route, attempt.took, slowdown)
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
            load_after=_describe(
                attempt.answer.load if attempt.answer else None
            ),
        )

    def offer_freed(request: Request, route: Route, attempt: Attempt) -> None:
        """Offer the server, which has just come free, to who waits for it."""
        answer = attempt.answer
        if answer is None or answer.load is None or not attempt.is_served():
            return
        # The load on an answer counts the answered request itself.
        report = HealthReport(
            healthy=True,
            server=None,
            cold=None,
            load=answer.load.leave_one(),
        )
        server = attempt.offer.sighting.server
        if server.is_usable(parts.timers.now()):
            parts.lines.offer(Sighting(server, report, parts.timers.now()))

    return (learn, write, partial(count_attempt, parts), offer_freed)


def note_full(
    parts: HostParts, request: Request, route: Route, found: NoRoom
) -> None:
    """Log a request for which no server had room, and what was seen.

    Args:
        parts: The state of the host.
        request: The request.
        route: Its route.
        found: What stood against it.
    """
    parts.note(
        'no_room',
        id=request.attempt,
        route=route.name,
        why=found.why,
        waited_ms=_to_ms(parts.timers.now() - request.arrived),
        seen=[_describe_sighting(one, parts) for one in found.seen],
    )


def _describe_sighting(sighting: Sighting, parts: HostParts) -> str:
    now = parts.timers.now()
    server = sighting.server
    age = f'{_to_ms(now - sighting.at)}ms ago'
    if sighting.report is None:
        return f'{server.entry.id} silent {age}'
    healthy = '' if sighting.report.healthy else ' unhealthy'
    cold = ' cold' if server.is_cold(now) else ''
    load = _describe_load(sighting)
    return f'{server.entry.id} {load}{healthy}{cold} {age}'


def _weigh_end(attempt: Attempt) -> float:
    """Weigh an attempt without an answer as a failure of its server."""
    if attempt.refused is Refused.UNREACHABLE:
        return UNREACHABLE_WEIGHT
    if attempt.refused is Refused.CUT or attempt.is_overdue():
        return SPOILED_WEIGHT
    return 0


def _describe_load(sighting: Sighting) -> str:
    return _describe(sighting.report.load if sighting.report else None)


def _describe(load: LoadReport | None) -> str:
    if load is None:
        return 'untold'
    return f'{load.running},{load.waiting},{load.slots},{load.pace}'


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
