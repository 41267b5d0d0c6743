"""Asking a backend server for its load just before work is sent to it."""

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
"""How long an answer is waited for before the connection counts as lost."""

SILENT_BACKOFF = Seconds(0.7)
UNHEALTHY_BACKOFF = Seconds(0.3)
"""How long a server that gave no good answer is not asked again."""

Probe = Callable[[KnownServer], Awaitable[ProbeResult]]
"""Asks one server for its health and load."""

ObserveProbe = Callable[[ProbeResult], None]

ListServiceSettings = Callable[[], Mapping[ServiceName, ServiceSettings]]


def make_probe(
    *,
    exchange: Exchange,
    dialect: MessageCodec,
    list_service_settings: ListServiceSettings,
    timers: Timers,
    observe: ObserveProbe,
) -> Probe:
    """Make the function that asks one server.

    Args:
        exchange: Exchanges on kept connections.
        dialect: Spells the question and reads the answer.
        list_service_settings: Lists the terms of each service.
        timers: Tells the time.
        observe: Is told what each question brought.
    """

    async def ask(server: KnownServer) -> ProbeResult:
        at = timers.now()
        terms = list_service_settings().get(server.entry.service)
        if terms is None:
            return ProbeResult(server, None, at)
        question = dialect.encode_health_request(
            server.entry, terms.health_path
        )
        report: HealthReport | None = None
        with trio.move_on_after(PROBE_TIMEOUT):
            reply = await exchange(
                server.entry.at, question, dialect.is_health_response
            )
            if not isinstance(reply, ExchangeFailure):
                report = dialect.decode_health_response(reply)
        apply_report(server, report, timers.now())
        sighting = ProbeResult(server, report, at)
        observe(sighting)
        return sighting

    return ask


def apply_report(
    server: KnownServer, report: HealthReport | None, now: Monotonic
) -> None:
    """Take over what a server said of itself.

    Args:
        server: The server.
        report: What it said; None where it didn't answer.
        now: The time.
    """
    if report is None:
        server.avoid_until = Monotonic(now + SILENT_BACKOFF)
        return
    if report.server_id is not None and report.server_id != server.entry.id:
        server.leaving = True
        return
    if report.cold_left is not None:
        server.update_cold_until(report.cold_left, now)
    if not report.healthy:
        server.avoid_until = Monotonic(now + UNHEALTHY_BACKOFF)
