"""Execution of version moves, coordinated with the other hosts."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch import Attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import MoveFacts
from ebonystream.request import Request, ResponseVerdict
from ebonystream.route import Route
from ebonystream.versionmove import (
    MIN_FINISH_PROGRESS,
    MoveVerdict,
    VersionMove,
    find_rollback_reason,
    sum_counts,
)

MOVE_UPDATE_PERIOD = Seconds(0.2)
"""Period of updating the moves, in seconds."""

STORE_CHECK_TIMEOUT = Seconds(3)
"""How long the check for an earlier verdict may fail, in seconds, before a move
starts without it."""

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


async def run_version_moves(parts: HostParts, read_report: ReadReport) -> None:
    """Execute the ordered version moves; never return.

    Args:
        parts: The state of the host.
        read_report: Reads the newest report of a move.
    """
    async for now in parts.timers.subscribe(period=MOVE_UPDATE_PERIOD):
        for started in parts.moves.update(parts.orders.moves, now):
            parts.log_event(
                'move_ordered', move=started.id, version=started.version
            )
        parts.moves.update_capacity(parts.roster.servers.values(), now)
        for move in list(parts.moves.moves.values()):
            apply_peer_facts(parts, move, now)
            await _sync_report(parts, move, read_report)


def make_move_facts(parts: HostParts, now: Monotonic) -> tuple[MoveFacts, ...]:
    """Make the facts about the moves that this host sends to the others.

    Args:
        parts: The state of the host.
        now: The current time.
    """
    return tuple(
        MoveFacts(
            move=move.id,
            elapsed=Seconds(now - move.started_at),
            complete=is_complete(parts, move, now),
            verdict=move.verdict,
            reported_verdict=move.reported_verdict,
            counts=move.list_counts(),
        )
        for move in parts.moves.moves.values()
    )


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


def record_move_attempt(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Record an attempt for the running move of its service, if any.

    Args:
        parts: The state of the host.
        request: The request of the attempt.
        route: The route of the request.
        attempt: The attempt, after its end.
    """
    entry = attempt.candidate.probe_result.server.entry
    move = parts.moves.find_by_service(entry.service)
    if move is None or move.verdict is not MoveVerdict.RUNNING:
        return
    if attempt.is_not_run():
        return
    bad = _is_bad(attempt)
    # An abandoned attempt counts only if it was overdue.
    if attempt.response is None and attempt.failure is None and not bad:
        return
    move.record_attempt(route.name, new=entry.version == move.version, bad=bad)


def apply_peer_facts(
    parts: HostParts, move: VersionMove, now: Monotonic
) -> None:
    """Apply the facts of other hosts about a move, and evaluate it.

    Args:
        parts: The state of the host.
        move: The version move.
        now: The current time.
    """
    peer_facts = [fact for _, fact in list_peer_facts(parts, move, now)]
    for fact in peer_facts:
        move.started_at = min(move.started_at, Monotonic(now - fact.elapsed))
        _adopt_verdict(parts, move, fact, now)
    if move.verdict is not MoveVerdict.RUNNING:
        return
    peer_counts = [peer.counts for peer in peer_facts]
    counts = sum_counts((move.list_counts(), *peer_counts))
    why = find_rollback_reason(counts)
    if why is not None:
        move.rollback_reason = why
        move.change_verdict(MoveVerdict.ROLLED_BACK, now)
        parts.log_event('move_braked', move=move.id, why=why)


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


def _adopt_verdict(
    parts: HostParts, move: VersionMove, fact: MoveFacts, now: Monotonic
) -> None:
    previous = move.verdict
    if fact.reported_verdict is not None:
        move.apply_report(fact.reported_verdict, now)
    elif previous is MoveVerdict.RUNNING and fact.verdict is not previous:
        move.change_verdict(fact.verdict, now)
    if move.verdict is not previous:
        parts.log_event(
            'move_verdict_heard', move=move.id, verdict=move.verdict.value
        )


def _is_bad(attempt: Attempt) -> bool:
    if attempt.is_overdue():
        return True
    if attempt.response is None:
        return attempt.failure is not None
    return attempt.response.verdict is not ResponseVerdict.SERVED


async def _sync_report(
    parts: HostParts, move: VersionMove, read_report: ReadReport
) -> None:
    """Synchronise the verdict of a move with its report in the store."""
    now = parts.timers.now()
    if move.store_checked and not _is_reporter(parts, move, now):
        return
    _finish_if_complete(parts, move, now)
    if move.store_checked and move.reported_verdict is move.verdict:
        return
    try:
        report = await read_report(move)
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
    except EbonystreamError as error:
        parts.log_event('move_not_reported', move=move.id, why=str(error))
        move.store_checked = (
            move.store_checked or now - move.started_at > STORE_CHECK_TIMEOUT
        )
        move.report_failed_at = now


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
