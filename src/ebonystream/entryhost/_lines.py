"""The log lines of requests."""

from ebonystream.dispatch import Attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.placement import NoCapacity, ProbeResult
from ebonystream.request import Request
from ebonystream.roster import LoadReport
from ebonystream.route import Route


def note_attempt(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Log an attempt: where it went, why, and how it ended.

    Args:
        parts: The state of the host.
        request: The request.
        route: Its route.
        attempt: The attempt.
    """
    sighting = attempt.offer.probe_result
    parts.note(
        'attempt',
        id=request.attempt_id,
        route=route.name,
        server=sighting.server.entry.id,
        ended=attempt.describe(),
        took_ms=_to_ms(attempt.duration),
        expected_ms=_to_ms(attempt.offer.expected_latency),
        asked=attempt.offer.probe_count,
        load=_describe_load(sighting),
        load_after=_describe(
            attempt.response.load if attempt.response else None
        ),
    )


def note_full(
    parts: HostParts, request: Request, route: Route, found: NoCapacity
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
        id=request.attempt_id,
        route=route.name,
        why=found.reason,
        waited_ms=_to_ms(parts.timers.now() - request.arrived_at),
        seen=[_describe_sighting(one, parts) for one in found.probe_results],
    )


def note_presence(parts: HostParts, sighting: ProbeResult) -> None:
    """Log a server that falls silent, or that answers again; once each.

    Args:
        parts: The state of the host.
        sighting: What a question brought.
    """
    server = sighting.server
    since = server.silent_since
    if sighting.report is None and since is None:
        server.silent_since = sighting.sent_at
        parts.note('server_silent', server=server.entry.id)
    elif sighting.report is not None and since is not None:
        server.silent_since = None
        silent_s = round(sighting.sent_at - since, 3)
        parts.note('server_heard', server=server.entry.id, silent_s=silent_s)


def _describe_sighting(sighting: ProbeResult, parts: HostParts) -> str:
    now = parts.timers.now()
    server = sighting.server
    age = f'{_to_ms(now - sighting.sent_at)}ms ago'
    if sighting.report is None:
        return f'{server.entry.id} silent {age}'
    healthy = '' if sighting.report.healthy else ' unhealthy'
    cold = ' cold' if server.is_cold(now) else ''
    load = _describe_load(sighting)
    return f'{server.entry.id} {load}{healthy}{cold} {age}'


def _describe_load(sighting: ProbeResult) -> str:
    return _describe(sighting.report.load if sighting.report else None)


def _describe(load: LoadReport | None) -> str:
    if load is None:
        return 'untold'
    return f'{load.running},{load.waiting},{load.slots},{load.pace}'


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
