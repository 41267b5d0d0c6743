"""Wiring of moves: confirmations, verdicts and zones that return to service."""

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


def make_submit_control_record(parts: Parts) -> SubmitRecord:
    """Make the function that submits a record to the control stream."""
    return make_submit_record(
        control=parts.control,
        log=parts.log,
        stream=parts.settings.log.control_stream,
        timeout=convert_ms(2 * parts.settings.log.timeout_ms),
    )


def make_end_move(parts: Parts) -> EndMove:
    """Make the function that submits a verdict on a move to the log."""
    submit_record = make_submit_control_record(parts)

    async def end_move(move: MoveId, verdict: VerdictKind, reason: str) -> None:
        # Hosts that reach the same verdict submit it with the same id, so that
        # all records after the first have no effect.
        request_id = xxhash.xxh128_hexdigest(f'{verdict.value} {move}'.encode())
        record = CloseMove(RequestId(request_id), move, verdict, reason)
        try:
            await submit_record(record)
        except EbonystreamError:
            return

    return end_move


def list_verdict_confirmations(parts: Parts) -> tuple[Confirmation, ...]:
    """Return the newest confirmation of each live entry host, for verdicts.

    A host list without this host may lack others as well: until it includes
    this host, this host counts as not having confirmed anything.
    """
    local, *remote = list_confirmations(parts)
    if not parts.listed.is_set():
        local = attrs.evolve(local, control_next=NOTHING_FOLDED)
    return local, *remote


def report_move(parts: Parts, move: MoveId) -> MoveReport:
    """Return the report on a move.

    Args:
        parts: The parts of this host.
        move: The id of the move.

    Raises:
        EbonystreamError: The move is unknown; the kind is `NOT_FOUND`.
    """
    moves = parts.control.folded_state.moves
    return make_report(
        moves.table.get(move),
        list_verdict_confirmations(parts),
        now_ms=parts.timers.wall_ms(),
        explain=partial(_explain_version_move, parts),
    )


def list_moves(parts: Parts) -> tuple[MoveId, ...]:
    """Return the open moves and the latest closed ones, in order of request."""
    moves = parts.control.folded_state.moves
    return tuple(moves.table.by_id)


async def run_zone_moves(parts: Parts) -> None:
    """Submit the verdicts on zone moves that are done; runs until cancelled."""
    await finish_zone_moves(
        get_moves=lambda: parts.control.folded_state.moves,
        list_confirmations=lambda: list_verdict_confirmations(parts),
        end_move=make_end_move(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )


def mark_returned_zones_cold(parts: Parts) -> None:
    """Mark zones that return to service as cold, from the next change on."""
    parts.control.change_notifier.subscribe(
        make_return_notifier(
            get_moves=lambda: parts.control.folded_state.moves,
            on_zone_return=partial(
                mark_zone_cold, parts.directory, parts.timers
            ),
            timers=parts.timers,
        )
    )


def make_zone_counting_place(
    place: Place, zones_in_flight: ZonesInFlight
) -> Place:
    """Make a placement function that counts each call in its zone.

    It asserts that the zone has not been taken out of service.

    Args:
        place: The placement function for the calls.
        zones_in_flight: Counts the calls in flight in each zone;
            `make_zone_observer` records the end of each.
    """

    async def place_counted(call: Call, tried: set[ServerId]) -> BackendServer:
        server = await place(call, tried)
        zones_in_flight.begin(server.zone)
        return server

    return place_counted


def make_zone_observer(zones_in_flight: ZonesInFlight) -> Observe:
    """Make the observer that records the end of each call in its zone.

    Args:
        zones_in_flight: Counts the calls in flight in each zone.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        zones_in_flight.end(server.zone)

    return observe


def _explain_version_move(parts: Parts, move: VersionMove) -> str:
    progress = parts.server_rules.version_traffic.find_progress(move.service)
    if progress is None:
        return ''
    return explain_move(progress, parts.timers.wall_ms())


async def run_version_moves(parts: Parts) -> None:
    """Advance version moves and submit their verdicts; runs until cancelled."""
    await evaluate_version_moves(
        traffic=parts.server_rules.version_traffic,
        end_move=make_end_move(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
