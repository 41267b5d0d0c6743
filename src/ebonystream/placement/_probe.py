"""Probe a backend server for its load just before a request is sent."""

from collections.abc import Awaitable, Callable, Mapping

import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream._timers import Timers
from ebonystream.link import Exchange, ExchangeFailure
from ebonystream.placement._results import ProbeResult
from ebonystream.request import MessageCodec
from ebonystream.roster import HealthReport, KnownServer
from ebonystream.route import ServiceSettings

PROBE_TIMEOUT = Seconds(0.06)
"""Timeout of one probe, after which its connection counts as lost."""

SILENT_BACKOFF = Seconds(0.7)
"""How long a server that did not answer a probe is avoided, in seconds."""

UNHEALTHY_BACKOFF = Seconds(0.3)
"""How long a server that reported itself unhealthy is avoided, in seconds."""

Probe = Callable[[KnownServer], Awaitable[ProbeResult]]
"""Probes one server for its health and load."""

ObserveProbe = Callable[[ProbeResult], None]

ListServiceSettings = Callable[[], Mapping[ServiceName, ServiceSettings]]


def make_probe(
    *,
    exchange: Exchange,
    codec: MessageCodec,
    list_service_settings: ListServiceSettings,
    timers: Timers,
    observe: ObserveProbe,
) -> Probe:
    """Return a function that probes one server.

    Args:
        exchange: Sends a request on a kept-alive connection and returns the
            response.
        codec: Encodes the health request and parses its response.
        list_service_settings: Returns the current settings of each service.
        timers: Source of the current time.
        observe: Callback that receives the result of each probe.
    """

    async def probe(server: KnownServer) -> ProbeResult:
        sent_at = timers.now()
        settings = list_service_settings().get(server.entry.service)
        if settings is None:
            return ProbeResult(server, None, sent_at)
        request = codec.encode_health_request(
            server.entry, settings.health_path
        )
        report: HealthReport | None = None
        with trio.move_on_after(PROBE_TIMEOUT):
            response = await exchange(
                server.entry.at, request, codec.is_health_response
            )
            if not isinstance(response, ExchangeFailure):
                report = codec.decode_health_response(response)
        apply_report(server, report, timers.now())
        result = ProbeResult(server, report, sent_at)
        observe(result)
        return result

    return probe


def apply_report(
    server: KnownServer, report: HealthReport | None, now: Monotonic
) -> None:
    """Update the state of a server from its health report.

    Args:
        server: The probed server, changed in place.
        report: Its health report; None if it did not answer.
        now: The current time.
    """
    if report is None:
        server.avoid_until = Monotonic(now + SILENT_BACKOFF)
        return
    server.update_from_notice(report.notice, now)
    if report.server_id is not None and report.server_id != server.entry.id:
        server.leaving = True
        return
    if report.cold_left is not None:
        server.update_cold_until(report.cold_left, now)
    if not report.healthy:
        server.avoid_until = Monotonic(now + UNHEALTHY_BACKOFF)
