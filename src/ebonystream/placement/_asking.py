"""Asking a backend server for its load just before work is sent to it."""

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
"""How long an answer is waited for before the connection counts as lost."""

AVOID_SILENT = Seconds(0.7)
AVOID_UNHEALTHY = Seconds(0.3)
"""How long a server that gave no good answer is not asked again."""

Ask = Callable[[KnownServer], Awaitable[Sighting]]
"""Asks one server for its health and load."""

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
    """Make the function that asks one server.

    Args:
        exchange: Exchanges on kept connections.
        dialect: Spells the question and reads the answer.
        list_terms: Lists the terms of each service.
        timers: Tells the time.
        observe: Is told what each question brought.
    """

    async def ask(server: KnownServer) -> Sighting:
        at = timers.now()
        terms = list_terms().get(server.entry.service)
        if terms is None:
            return Sighting(server, None, at)
        question = dialect.spell_question(server.entry, terms.health_path)
        report: HealthReport | None = None
        with trio.move_on_after(ASK_TIMEOUT):
            reply = await exchange(server.entry.at, question, dialect.is_health)
            if not isinstance(reply, Refused):
                report = dialect.read_health(reply)
        take_report(server, report, timers.now())
        sighting = Sighting(server, report, at)
        observe(sighting)
        return sighting

    return ask


def take_report(
    server: KnownServer, report: HealthReport | None, now: Monotonic
) -> None:
    """Take over what a server said of itself.

    Args:
        server: The server.
        report: What it said; None where it didn't answer.
        now: The time.
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
