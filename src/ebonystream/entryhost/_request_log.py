"""Log lines about attempts, rejected requests and silent servers."""

from ebonystream.dispatch import Attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.placement import NoCapacity, ProbeResult, ReserveDecision
from ebonystream.request import Request
from ebonystream.roster import KnownServer, LoadReport, ServerNotice
from ebonystream.route import Route


def log_attempt(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Log an attempt: its server, the expected latency, and the result.

    Args:
        parts: The state of the host.
        request: The request of the attempt.
        route: The route of the request.
        attempt: The attempt, after its end.
    """
    result = attempt.candidate.probe_result
    parts.log_event(
        'attempt',
        id=request.attempt_id,
        route=route.name,
        server=result.server.entry.id,
        ended=attempt.describe(),
        took_ms=_to_ms(attempt.duration),
        expected_ms=_to_ms(attempt.candidate.expected_latency),
        asked=attempt.candidate.probe_count,
        cold_ms=_to_ms(max(0, result.server.cold_until - parts.timers.now())),
        load=_describe_reported_load(result),
        load_after=_describe_load(
            attempt.response.load if attempt.response else None
        ),
        **_describe_reserve(route, attempt.candidate.reserve),
    )


def log_no_capacity(
    parts: HostParts, request: Request, route: Route, rejection: NoCapacity
) -> None:
    """Count and log a request for which no server had capacity.

    Args:
        parts: The state of the host.
        request: The request.
        route: The route of the request.
        rejection: Why no server was selected.
    """
    parts.metrics.count_rejection(route, rejection)
    parts.log_event(
        'no_room',
        id=request.attempt_id,
        route=route.name,
        why=rejection.reason,
        waited_ms=_to_ms(parts.timers.now() - request.arrived_at),
        seen=[
            _describe_probe(result, parts) for result in rejection.probe_results
        ],
        **_describe_reserve(route, rejection.reserve),
    )


def log_notice(
    parts: HostParts, server: KnownServer, notice: ServerNotice
) -> None:
    """Log that a server is leaving or refuses requests.

    Args:
        parts: The state of the host.
        server: The server.
        notice: What its response says.
    """
    parts.log_event(
        'server_notice',
        server=server.entry.id,
        leaving=notice.is_leaving,
        refusing_s=notice.retry_after,
    )


def update_silence(parts: HostParts, result: ProbeResult) -> None:
    """Update since when a server has been silent, and log each change.

    Args:
        parts: The state of the host.
        result: The result of a probe of the server.
    """
    server = result.server
    since = server.silent_since
    if result.report is None and since is None:
        server.silent_since = result.sent_at
        parts.log_event('server_silent', server=server.entry.id)
    elif result.report is not None and since is not None:
        server.silent_since = None
        silent_s = round(result.sent_at - since, 3)
        parts.log_event(
            'server_heard', server=server.entry.id, silent_s=silent_s
        )


def _describe_probe(result: ProbeResult, parts: HostParts) -> str:
    now = parts.timers.now()
    server = result.server
    age = f'{_to_ms(now - result.sent_at)}ms ago'
    if result.report is None:
        return f'{server.entry.id} silent {age}'
    healthy = '' if result.report.healthy else ' unhealthy'
    cold = ' cold' if server.is_cold(now) else ''
    load = _describe_reported_load(result)
    return f'{server.entry.id} {load}{healthy}{cold} {age}'


def _describe_reserve(
    route: Route, decision: ReserveDecision | None
) -> dict[str, str]:
    """Describe the reserve that a request was compared with, if any."""
    if decision is None:
        return {}
    reserve = decision.reserve
    return {
        'reserve': (
            f'rank {route.rank} free {decision.free} of {decision.slots}'
            f' reserved {reserve.share:.3f}'
            f' for {reserve.urgent_work:.2f} slots of more urgent requests'
            f' reported {_to_ms(reserve.age)}ms ago'
        )
    }


def _describe_reported_load(result: ProbeResult) -> str:
    return _describe_load(result.report.load if result.report else None)


def _describe_load(load: LoadReport | None) -> str:
    if load is None:
        return 'untold'
    return f'{load.running},{load.waiting},{load.slots},{load.pace}'


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
