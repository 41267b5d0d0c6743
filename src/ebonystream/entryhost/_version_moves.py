"""Execution of version moves, coordinated with the other hosts."""

from collections.abc import Mapping

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream._validation import limit_duration
from ebonystream.dispatch import Attempt
from ebonystream.entryhost._move_reports import (
    ReadReport,
    is_complete,
    list_peer_facts,
    sync_report,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.gossip import MoveFacts
from ebonystream.request import Request, ResponseVerdict
from ebonystream.route import Route
from ebonystream.versionmove import (
    AttemptOutcome,
    MoveCounts,
    MoveVerdict,
    VersionMove,
)

MOVE_UPDATE_PERIOD = Seconds(0.2)
"""Period of updating the moves, in seconds."""


async def run_version_moves(parts: HostParts, read_report: ReadReport) -> None:
    """Execute the ordered version moves; never return.

    Args:
        parts: The state of the host.
        read_report: Reads the newest report of a move.
    """
    async for now in parts.timers.subscribe(period=MOVE_UPDATE_PERIOD):
        for started in parts.moves.update(parts.orders.list_moves(now), now):
            parts.log_event(
                'move_ordered', move=started.id, version=started.version
            )
        parts.moves.update_capacity(parts.roster.servers.values(), now)
        for move in list(parts.moves.moves.values()):
            apply_peer_facts(parts, move, now)
            await sync_report(parts, move, read_report)


def make_move_facts(parts: HostParts, now: Monotonic) -> tuple[MoveFacts, ...]:
    """Make the facts about the moves that this host sends to the others.

    Args:
        parts: The state of the host.
        now: The current time.
    """
    return tuple(
        MoveFacts(
            move=move.id,
            elapsed=limit_duration(now - move.started_at),
            complete=is_complete(parts, move, now),
            verdict=move.verdict,
            reported_verdict=move.reported_verdict,
            counts=move.list_counts(),
            store_checked=move.store_checked,
        )
        for move in parts.moves.moves.values()
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
    outcome = _classify(attempt)
    if outcome is not None:
        is_new = entry.version == move.version
        move.record_attempt(route.name, new=is_new, outcome=outcome)


def apply_peer_facts(
    parts: HostParts, move: VersionMove, now: Monotonic
) -> None:
    """Apply the facts of other hosts about a move, and evaluate it.

    Args:
        parts: The state of the host.
        move: The version move.
        now: The current time.
    """
    counts_by_host = {parts.settings.name: move.list_counts()}
    for host, fact in list_peer_facts(parts, move, now):
        move.started_at = min(move.started_at, Monotonic(now - fact.elapsed))
        _adopt_verdict(parts, move, fact, now)
        move.store_checked = move.store_checked or fact.store_checked
        counts_by_host[HostId(host)] = fact.counts
    if move.verdict is MoveVerdict.RUNNING:
        _evaluate(parts, move, counts_by_host, now)


def _evaluate(
    parts: HostParts,
    move: VersionMove,
    counts_by_host: Mapping[HostId, MoveCounts],
    now: Monotonic,
) -> None:
    was_on_hold = move.is_on_hold
    share = move.get_traffic_share(now)
    if move.evaluate(counts_by_host, now):
        parts.log_event('move_braked', move=move.id, why=move.rollback_reason)
    elif move.is_on_hold is not was_on_hold:
        parts.log_event(
            'move_on_hold' if move.is_on_hold else 'move_continues',
            move=move.id,
            share=share,
            why=move.evidence.describe_worst(),
        )


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


def _classify(attempt: Attempt) -> AttemptOutcome | None:
    """Classify an attempt; None if it tells nothing about the version."""
    response = attempt.response
    if response is not None and response.verdict is not ResponseVerdict.SERVED:
        return AttemptOutcome.FAILED
    if attempt.is_overdue() or attempt.failure is not None:
        return AttemptOutcome.LOST
    # An abandoned attempt counts only if it was overdue.
    return None if response is None else AttemptOutcome.GOOD
