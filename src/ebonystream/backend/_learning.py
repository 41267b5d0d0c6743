"""Updates to the state of starting servers at the end of each attempt."""

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream._timers import Timers
from ebonystream.backend._attempt import Attempt, AttemptKind, ServerState
from ebonystream.backend._cold import StartingRules
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Observe
from ebonystream.backend._server import BackendServer
from ebonystream.backend._slowdown import is_far_slower
from ebonystream.call import Call

CONNECTION_FAILURES = frozenset((AttemptKind.INTERRUPTED, AttemptKind.NOT_SENT))
"""Kinds of attempts after which the server may have restarted."""


def make_starting_observer(rules: StartingRules) -> Observe:
    """Make the observer that updates the phase of servers.

    Args:
        rules: The state that the observer reads; it updates the servers of
            the directory.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        now = rules.timers.now()
        report = attempt.report
        if report is None:
            _record_no_response(server, attempt, rules.timers)
            return
        if not server.lifecycle.record_boot(report.boot, now):
            return
        if report.state is ServerState.DRAINING:
            server.lifecycle.drain(now)
        elif report.state is ServerState.COLD:
            server.lifecycle.mark_cold(now)
        elif attempt.kind is AttemptKind.REFUSED:
            server.lifecycle.record_failure(now)
        else:
            _record_response(rules, call, server, duration)

    return observe


def _record_no_response(
    server: BackendServer, attempt: Attempt, timers: Timers
) -> None:
    if attempt.kind in CONNECTION_FAILURES:
        server.lifecycle.mark_unconfirmed(timers.now())
        server.lifecycle.record_failure(timers.now())


def _record_response(
    rules: StartingRules, call: Call, server: BackendServer, duration: Seconds
) -> None:
    now = rules.timers.now()
    slowdown = server.slowdown
    slowdown.add(call.route, duration)
    others = (
        other.slowdown
        for other in rules.directory.list_servers(server.service)
        if other is not server
    )
    if is_far_slower(slowdown, others):
        slowdown.reset()
        server.lifecycle.mark_cold(now)
        return
    server.lifecycle.record_response(
        rules.slots, sent_at=Monotonic(now - duration), now=now
    )


def mark_zone_cold(
    directory: Directory, timers: Timers, zone: ZoneName
) -> None:
    """Treat all servers of a zone as cold, as the zone is in use again.

    Args:
        directory: The known servers.
        timers: Source of the current time.
        zone: The zone.
    """
    for server in directory.servers.values():
        if server.zone == zone:
            server.lifecycle.mark_cold(timers.now())
