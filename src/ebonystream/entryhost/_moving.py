"""Carrying out version moves, together with the other hosts."""

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
    FINISH_FROM,
    MoveVerdict,
    VersionMove,
    add_counts,
    judge_version,
)

MOVE_PERIOD = Seconds(0.2)
"""How often the moves are looked at."""

CHECK_FOR = Seconds(3)
"""How long an earlier verdict is looked for before a move begins without."""

WRITERS = 3
"""Hosts that may report a move, one after another."""

WRITER_TURN = Seconds(1)
"""How long the next one waits for the one before."""


@attrs.frozen
class Report:
    """What the store holds of a move.

    Attributes:
        verdict: What was reported; None where nothing was.
        write: Reports the move as it stands; tells whether it was taken.
    """

    verdict: MoveVerdict | None
    write: Callable[[], Awaitable[bool]]


ReadReport = Callable[[VersionMove], Awaitable[Report]]
"""Reads the newest report of a move; raises without the store."""


async def follow_moves(parts: HostParts, read_report: ReadReport) -> None:
    """Carry out the moves that are ordered, for ever.

    Args:
        parts: The state of the host.
        read_report: Reads the newest report of a move.
    """
    async for now in parts.timers.subscribe(period=MOVE_PERIOD):
        for new in parts.moves.take(parts.orders.moves, now):
            parts.note('move_ordered', move=new.id, version=new.version)
        parts.moves.measure(parts.roster.servers.values(), now)
        for move in list(parts.moves.moves.values()):
            hear_peers_of(parts, move, now)
            await _settle(parts, move, read_report)


def make_move_facts(parts: HostParts, now: Monotonic) -> tuple[MoveFacts, ...]:
    """Make what this host tells of its moves.

    Args:
        parts: The state of the host.
        now: The time.
    """
    return tuple(
        MoveFacts(
            move=move.id,
            elapsed=Seconds(now - move.began),
            complete=is_complete(parts, move, now),
            verdict=move.verdict,
            reported_verdict=move.reported,
            counts=move.list_counts(),
        )
        for move in parts.moves.moves.values()
    )


def is_complete(parts: HostParts, move: VersionMove, now: Monotonic) -> bool:
    """Tell whether this host is through with the old version.

    Args:
        parts: The state of the host.
        move: The move.
        now: The time.
    """
    if move.get_share(now) < 1:
        return False
    return not any(
        server.in_flight
        for server in parts.roster.list_servers(move.service)
        if server.entry.version != move.version
    )


def count_attempt(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Count an attempt for the move of its service, if one runs.

    Args:
        parts: The state of the host.
        request: The request.
        route: Its route.
        attempt: How it ended.
    """
    entry = attempt.offer.probe_result.server.entry
    move = parts.moves.find(entry.service)
    if move is None or move.verdict is not MoveVerdict.RUNNING:
        return
    if attempt.is_not_run():
        return
    bad = _is_bad(attempt)
    if attempt.response is None and attempt.failure is None and not bad:
        return
    move.count(route.name, new=entry.version == move.version, bad=bad)


def hear_peers_of(parts: HostParts, move: VersionMove, now: Monotonic) -> None:
    """Take over what other hosts tell of a move, and judge it.

    Args:
        parts: The state of the host.
        move: The move.
        now: The time.
    """
    told = [fact for _, fact in list_told(parts, move, now)]
    for fact in told:
        move.began = min(move.began, Monotonic(now - fact.elapsed))
        _adopt(parts, move, fact, now)
    if move.verdict is not MoveVerdict.RUNNING:
        return
    told_counts = [one.counts for one in told]
    counts = add_counts((move.list_counts(), *told_counts))
    why = judge_version(counts)
    if why is not None:
        move.why = why
        move.conclude(MoveVerdict.TAKEN_BACK, now)
        parts.note('move_braked', move=move.id, why=why)


def list_told(
    parts: HostParts, move: VersionMove, now: Monotonic
) -> list[tuple[str, MoveFacts]]:
    """List what the other hosts that are alive tell of a move.

    Args:
        parts: The state of the host.
        move: The move.
        now: The time.
    """
    return [
        (facts.host, fact)
        for facts in parts.facts.list_alive(now)
        if facts.host != parts.settings.name
        for fact in facts.moves
        if fact.move == move.id
    ]


def _adopt(
    parts: HostParts, move: VersionMove, fact: MoveFacts, now: Monotonic
) -> None:
    before = move.verdict
    if fact.reported_verdict is not None:
        move.settle(fact.reported_verdict, now)
    elif before is MoveVerdict.RUNNING and fact.verdict is not before:
        move.conclude(fact.verdict, now)
    if move.verdict is not before:
        parts.note(
            'move_verdict_heard', move=move.id, verdict=move.verdict.value
        )


def _is_bad(attempt: Attempt) -> bool:
    if attempt.is_overdue():
        return True
    if attempt.response is None:
        return attempt.failure is not None
    return attempt.response.verdict is not ResponseVerdict.SERVED


async def _settle(
    parts: HostParts, move: VersionMove, read_report: ReadReport
) -> None:
    """Bring a move and its report in the store together."""
    now = parts.timers.now()
    if move.checked and not _is_writer(parts, move, now):
        return
    _find_end(parts, move, now)
    if move.checked and move.reported is move.verdict:
        return
    try:
        report = await read_report(move)
        if report.verdict is not None:
            move.settle(report.verdict, now)
        move.checked = True
        if report.verdict is move.verdict:
            return
        if _is_writer(parts, move, now) and await report.write():
            move.reported = move.verdict
            parts.note(
                'move_reported',
                move=move.id,
                verdict=move.verdict.value,
                why=move.why,
            )
    except EbonystreamError as error:
        parts.note('move_not_reported', move=move.id, why=str(error))
        move.checked = move.checked or now - move.began > CHECK_FOR
        move.tried = now


def _find_end(parts: HostParts, move: VersionMove, now: Monotonic) -> None:
    """Finish a move once every host is through with the old version."""
    if move.verdict is not MoveVerdict.RUNNING or not move.checked:
        return
    if move.get_part(now) < FINISH_FROM or not is_complete(parts, move, now):
        return
    told = dict(list_told(parts, move, now))
    alive = [
        facts.host
        for facts in parts.facts.list_alive(now)
        if facts.host != parts.settings.name
    ]
    if all(host in told and told[host].complete for host in alive):
        move.conclude(MoveVerdict.FINISHED, now)
        parts.note('move_complete', move=move.id, hosts=len(alive) + 1)


def _is_writer(parts: HostParts, move: VersionMove, now: Monotonic) -> bool:
    """Tell whether it is this host's turn to report a move."""
    names = sorted(
        facts.host for facts in parts.facts.list_alive(now) if not facts.leaving
    )
    if parts.settings.name not in names[:WRITERS]:
        return not names
    turn = names.index(parts.settings.name)
    return now - max(move.tried, move.changed) >= turn * WRITER_TURN
