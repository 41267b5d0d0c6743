"""Probe a backend server for its load just before a request is sent."""

from collections.abc import Awaitable, Callable, Mapping

import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream._timers import Timers
from ebonystream.link import Exchange, Refused
from ebonystream.placement._offer import Sighting
from ebonystream.request import Dialect
from ebonystream.roster import HealthReport, KnownServer
from ebonystream.route import ServiceTerms

ASK_TIMEOUT = Seconds(0.06)
"""Timeout of one probe, after which its connection counts as lost."""

AVOID_SILENT = Seconds(0.7)
AVOID_UNHEALTHY = Seconds(0.3)
"""Back-off after a probe that timed out or reported an unhealthy server."""

Ask = Callable[[KnownServer], Awaitable[Sighting]]
"""Probes one server for its health and load."""

ObserveQuestion = Callable[[Sighting], None]

ListTerms = Callable[[], Mapping[ServiceName, ServiceTerms]]


def make_ask(
    *,
    exchange: Exchange,
    dialect: Dialect,
    list_terms: ListTerms,
    timers: Timers,
    observe: ObserveQuestion,
) -> Ask:
    """Return a function that probes one server.

    Args:
        exchange: Sends a request on a kept-alive connection and returns the
            response.
        dialect: Encodes the health request and parses its response.
        list_terms: Returns the current settings of each service.
        timers: Source of the current time.
        observe: Callback that receives the result of each probe.
    """

    async def ask(server: KnownServer) -> Sighting:
        sent_at = timers.now()
        settings = list_terms().get(server.entry.service)
        if settings is None:
            return Sighting(server, None, sent_at)
        request = dialect.spell_question(server.entry, settings.health_path)
        report: HealthReport | None = None
        with trio.move_on_after(ASK_TIMEOUT):
            response = await exchange(
                server.entry.at, request, dialect.is_health
            )
            if not isinstance(response, Refused):
                report = dialect.read_health(response)
        take_report(server, report, timers.now())
        result = Sighting(server, report, sent_at)
        observe(result)
        return result

    return ask


def take_report(
    server: KnownServer, report: HealthReport | None, now: Monotonic
) -> None:
    """Update the state of a server from its health report.

    Args:
        server: The probed server, changed in place.
        report: Its health report; None if it did not answer.
        now: The current time.
    """
    if report is None:
        server.avoid_until = Monotonic(now + AVOID_SILENT)
        return
    if report.server is not None and report.server != server.entry.id:
        server.leaving = True
        return
    if report.cold is not None:
        server.hear_cold(report.cold, now)
    if not report.healthy:
        server.avoid_until = Monotonic(now + AVOID_UNHEALTHY)
