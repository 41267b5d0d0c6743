"""Reports of version moves in the store, written by one host at a time."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import MoveFacts
from ebonystream.versionmove import (
    MIN_FINISH_PROGRESS,
    MoveVerdict,
    VersionMove,
)

STORE_CHECK_TIMEOUT = Seconds(3)
"""How long the check for an earlier verdict may fail, in seconds, before a move
starts without it."""

PEER_CHECK_WAIT = Seconds(1)
"""How long a host that is not a leader leaves this check to its peers, in
seconds."""

MAX_REPORTERS = 3
"""Number of hosts that may report a move, one after another."""

REPORTER_DELAY = Seconds(1)
"""How long each of these hosts waits for the previous one, in seconds."""


@attrs.frozen
class StoredReport:
    """The newest report of a move in the store.

    Attributes:
        verdict: The reported verdict; None if the move was not reported.
        write: Reports the current verdict of the move; returns whether the
            store accepted it.
    """

    verdict: MoveVerdict | None
    write: Callable[[], Awaitable[bool]]


ReadReport = Callable[[VersionMove], Awaitable[StoredReport]]
"""Reads the newest report of a move; raises if the store fails."""


def is_complete(parts: HostParts, move: VersionMove, now: Monotonic) -> bool:
    """Return whether this host no longer uses the old version.

    That is so when the new version gets all requests and no server of
    another version has a request in flight from this host.

    Args:
        parts: The state of the host.
        move: The version move.
        now: The current time.
    """
    if move.get_traffic_share(now) < 1:
        return False
    return not any(
        server.in_flight
        for server in parts.roster.list_servers(move.service)
        if server.entry.version != move.version
    )


def list_peer_facts(
    parts: HostParts, move: VersionMove, now: Monotonic
) -> list[tuple[str, MoveFacts]]:
    """List the facts of the other live hosts about a move, by host.

    Args:
        parts: The state of the host.
        move: The version move.
        now: The current time.
    """
    return [
        (facts.host, fact)
        for facts in parts.facts.list_alive(now)
        if facts.host != parts.settings.name
        for fact in facts.moves
        if fact.move == move.id
    ]


async def sync_report(
    parts: HostParts, move: VersionMove, read_report: ReadReport
) -> None:
    """Synchronise the verdict of a move with its report in the store.

    Before a move starts, the leader of each zone looks for a verdict that was
    reported earlier; the other hosts learn the result from its facts.

    Args:
        parts: The state of the host.
        move: The version move.
        read_report: Reads the newest report of a move.
    """
    now = parts.timers.now()
    if not _has_turn(parts, move, now):
        return
    _finish_if_complete(parts, move, now)
    if move.store_checked and move.reported_verdict is move.verdict:
        return
    try:
        await _exchange_report(parts, move, await read_report(move), now)
    except EbonystreamError as error:
        parts.log_event('move_not_reported', move=move.id, why=str(error))
        is_overdue = now - move.started_at > STORE_CHECK_TIMEOUT
        move.store_checked = move.store_checked or is_overdue
        move.report_failed_at = now


def _has_turn(parts: HostParts, move: VersionMove, now: Monotonic) -> bool:
    """Return whether it is this host's turn to access the report of a move."""
    if move.store_checked:
        return _is_reporter(parts, move, now)
    is_overdue = now - move.started_at > PEER_CHECK_WAIT
    return is_overdue or parts.facts.is_leader(now)


async def _exchange_report(
    parts: HostParts, move: VersionMove, report: StoredReport, now: Monotonic
) -> None:
    """Apply the verdict that was reported, and report a newer one."""
    if report.verdict is not None:
        move.apply_report(report.verdict, now)
    move.store_checked = True
    if report.verdict is move.verdict:
        return
    if _is_reporter(parts, move, now) and await report.write():
        move.reported_verdict = move.verdict
        parts.log_event(
            'move_reported',
            move=move.id,
            verdict=move.verdict.value,
            why=move.rollback_reason,
        )


def _finish_if_complete(
    parts: HostParts, move: VersionMove, now: Monotonic
) -> None:
    """Finish a move once every live host has completed it."""
    if move.verdict is not MoveVerdict.RUNNING or not move.store_checked:
        return
    if move.get_progress(now) < MIN_FINISH_PROGRESS or not is_complete(
        parts, move, now
    ):
        return
    facts_by_host = dict(list_peer_facts(parts, move, now))
    live_peers = [
        facts.host
        for facts in parts.facts.list_alive(now)
        if facts.host != parts.settings.name
    ]
    if all(
        host in facts_by_host and facts_by_host[host].complete
        for host in live_peers
    ):
        move.change_verdict(MoveVerdict.FINISHED, now)
        parts.log_event(
            'move_complete', move=move.id, hosts=len(live_peers) + 1
        )


def _is_reporter(parts: HostParts, move: VersionMove, now: Monotonic) -> bool:
    """Return whether it is this host's turn to report a move."""
    names = sorted(
        facts.host for facts in parts.facts.list_alive(now) if not facts.leaving
    )
    if parts.settings.name not in names[:MAX_REPORTERS]:
        # If every live host is leaving, each of them may report the move.
        return not names
    turn = names.index(parts.settings.name)
    return (
        now - max(move.report_failed_at, move.verdict_changed_at)
        >= turn * REPORTER_DELAY
    )
