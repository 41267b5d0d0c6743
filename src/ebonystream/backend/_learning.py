"""What is learned of starting servers from the end of each attempt."""

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream._timers import Timers
from ebonystream.backend._attempt import Attempt, AttemptKind, ServerState
from ebonystream.backend._cold import StartingRules
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Observe
from ebonystream.backend._latency import is_far_slower
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call

LOST = frozenset((AttemptKind.CUT, AttemptKind.NOT_SENT))
"""Ends of an attempt that speak for a restart of the server."""


def make_starting_observer(rules: StartingRules) -> Observe:
    """Make the observer that learns how warm servers are.

    Args:
        rules: What it looks at.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        now = rules.timers.now()
        report = attempt.report
        if report is None:
            _learn_from_loss(server, attempt, rules.timers)
            return
        if not server.warmth.note_boot(report.boot, now):
            return
        if report.state is ServerState.DRAINING:
            server.warmth.drain(now)
        elif report.state is ServerState.COLD:
            server.warmth.chill(now)
        elif attempt.kind is AttemptKind.REFUSED:
            server.warmth.note_failure(now)
        else:
            _learn_from_answer(rules, call, server, took)

    return observe


def _learn_from_loss(
    server: BackendServer, attempt: Attempt, timers: Timers
) -> None:
    if attempt.kind in LOST:
        server.warmth.doubt(timers.now())
        server.warmth.note_failure(timers.now())


def _learn_from_answer(
    rules: StartingRules, call: Call, server: BackendServer, took: Seconds
) -> None:
    now = rules.timers.now()
    slowdown = server.slowdown
    slowdown.add(call.route, took)
    others = (
        other.slowdown
        for other in rules.directory.list_service(server.service)
        if other is not server
    )
    if is_far_slower(slowdown, others):
        slowdown.forget()
        server.warmth.chill(now)
        return
    server.warmth.note_answer(rules.slots, began=Monotonic(now - took), now=now)


def chill_zone(directory: Directory, timers: Timers, zone: ZoneName) -> None:
    """Treat each server of a zone that returns as cold.

    Args:
        directory: The servers that are known.
        timers: Tells the time.
        zone: The zone.
    """
    for server in directory.servers.values():
        if server.zone == zone:
            server.warmth.chill(timers.now())
