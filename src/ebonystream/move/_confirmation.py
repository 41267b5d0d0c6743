"""Confirmations: what entry hosts say of a move that they follow."""

from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec

from ebonystream._ids import EpochMs, HostId, Incarnation, Offset, ZoneName
from ebonystream.move._move import Move, ZoneMove


@attrs.frozen
class Confirmation:
    """What a live entry host said last.

    Attributes:
        host: The host.
        incarnation: Which run of it; None where it never spoke.
        control_next: The first offset of the control stream it lacked.
        zones_in_flight: Calls that it had in hand in each zone just then.
        silent_since: Since when it can't be reached; None while it can.
    """

    host: HostId
    incarnation: Incarnation | None
    control_next: Offset
    zones_in_flight: Mapping[ZoneName, int]
    silent_since: EpochMs | None = None


ListConfirmations = Callable[[], Sequence[Confirmation]]
"""Gives the newest word of each live entry host, this one included."""


class WaitingHost(msgspec.Struct, frozen=True):
    """An entry host that a move still waits for.

    Attributes:
        host: The host.
        confirmed: Whether it has the record of the move.
        in_flight: Calls that it had in hand in the zone when it spoke last.
        unreachable_since_ms: Since when it can't be reached, if so.
    """

    host: HostId
    confirmed: bool
    in_flight: int
    unreachable_since_ms: EpochMs | None


def list_waiting(
    move: Move, confirmations: Sequence[Confirmation]
) -> tuple[WaitingHost, ...]:
    """Give the hosts that a move waits for; none once all follow it.

    Args:
        move: The move.
        confirmations: The newest word of each live entry host.
    """
    assert confirmations, 'a host must count itself among the live ones'
    looked_at = (_look_at(move, one) for one in confirmations)
    return tuple(one for one in looked_at if _is_waited_for(one))


def describe_waiting(host: WaitingHost) -> str:
    """Say in words why a move waits for a host.

    Args:
        host: The host.
    """
    parts = [f'host {host.host}']
    if host.unreachable_since_ms is not None:
        parts.append(f'unreachable since {host.unreachable_since_ms}')
    if not host.confirmed:
        parts.append('not confirmed')
    if host.in_flight:
        parts.append(f'{host.in_flight} calls in flight')
    return ', '.join(parts)


def _look_at(move: Move, word: Confirmation) -> WaitingHost:
    in_flight = 0
    if isinstance(move, ZoneMove) and move.is_out():
        in_flight = word.zones_in_flight.get(move.zone, 0)
    return WaitingHost(
        host=word.host,
        confirmed=word.control_next > move.offset,
        in_flight=in_flight,
        unreachable_since_ms=word.silent_since,
    )


def _is_waited_for(host: WaitingHost) -> bool:
    reachable = host.unreachable_since_ms is None
    return not (host.confirmed and reachable and host.in_flight == 0)
