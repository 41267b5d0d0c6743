"""Wires moves: what hosts confirm, verdicts, and zones that come back."""

from functools import partial
from random import Random

import attrs
import xxhash

from ebonystream._ids import (
    MoveId,
    RequestId,
    Seconds,
    ServerId,
)
from ebonystream.backend import (
    Attempt,
    BackendServer,
    Observe,
    Place,
    mark_zone_cold,
)
from ebonystream.call import Call
from ebonystream.composition._confirmations import (
    NOTHING_FOLDED,
    list_confirmations,
)
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import SubmitRecord, make_submit_record
from ebonystream.errors import EbonystreamError
from ebonystream.move import (
    CloseMove,
    Confirmation,
    EndMove,
    MoveReport,
    VerdictKind,
    VersionMove,
    ZonesInFlight,
    finish_zone_moves,
    make_report,
    make_return_notifier,
)
from ebonystream.version import evaluate_version_moves, explain_move


def make_ask(parts: Parts) -> SubmitRecord:
    """Make the function that asks the control stream to take a record."""
    return make_submit_record(
        control=parts.control,
        log=parts.log,
        stream=parts.settings.log.control_stream,
        timeout=convert_ms(2 * parts.settings.log.timeout_ms),
    )


def make_end_move(parts: Parts) -> EndMove:
    """Make the function that asks the log for a verdict on a move."""
    ask = make_ask(parts)

    async def end_move(move: MoveId, verdict: VerdictKind, reason: str) -> None:
        # Hosts that come to the same verdict ask under the same name, so that
        # the second of them changes nothing.
        name = xxhash.xxh128_hexdigest(f'{verdict.value} {move}'.encode())
        record = CloseMove(RequestId(name), move, verdict, reason)
        try:
            await ask(record)
        except EbonystreamError:
            return

    return end_move


def list_words(parts: Parts) -> tuple[Confirmation, ...]:
    """Give the newest word of each live entry host, for verdicts.

    A host list that does not name this host yet may lack others too: until it
    does, this host counts as not having confirmed anything.
    """
    own, *others = list_confirmations(parts)
    if not parts.listed.is_set():
        own = attrs.evolve(own, control_next=NOTHING_FOLDED)
    return own, *others


def report_move(parts: Parts, move: MoveId) -> MoveReport:
    """Report on a move; raises `NOT_FOUND`."""
    moves = parts.control.folded_state.moves
    return make_report(
        moves.table.get(move),
        list_words(parts),
        now_ms=parts.timers.wall_ms(),
        explain=partial(_explain_version, parts),
    )


def list_moves(parts: Parts) -> tuple[MoveId, ...]:
    """Name open moves and the latest closed ones, in the order of asking."""
    moves = parts.control.folded_state.moves
    return tuple(moves.table.by_id)


async def finish_moves(parts: Parts) -> None:
    """Ask for the verdict on zone moves that are done, for ever."""
    await finish_zone_moves(
        get_moves=lambda: parts.control.folded_state.moves,
        list_confirmations=lambda: list_words(parts),
        end_move=make_end_move(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )


def watch_returns(parts: Parts) -> None:
    """Have zones that come back treated as cold, from the next change on."""
    parts.control.change_notifier.subscribe(
        make_return_notifier(
            get_moves=lambda: parts.control.folded_state.moves,
            on_zone_return=partial(
                mark_zone_cold, parts.directory, parts.timers
            ),
            timers=parts.timers,
        )
    )


def guard_place(place: Place, zones: ZonesInFlight) -> Place:
    """Count each call in its zone, and assert that the zone is not out.

    Args:
        place: Finds a server with room.
        zones: Counts the calls in hand; see `make_zone_observer`.
    """

    async def place_guarded(call: Call, tried: set[ServerId]) -> BackendServer:
        server = await place(call, tried)
        zones.begin(server.zone)
        return server

    return place_guarded


def make_zone_observer(zones: ZonesInFlight) -> Observe:
    """Make the observer that counts the end of each call in its zone.

    Args:
        zones: Counts the calls in hand.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        zones.end(server.zone)

    return observe


def _explain_version(parts: Parts, move: VersionMove) -> str:
    progress = parts.server_rules.traffic.find_progress(move.service)
    if progress is None:
        return ''
    return explain_move(progress, parts.timers.wall_ms())


async def judge_moves(parts: Parts) -> None:
    """Let version moves grow and ask for their verdicts, for ever."""
    await evaluate_version_moves(
        traffic=parts.server_rules.traffic,
        end_move=make_end_move(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
