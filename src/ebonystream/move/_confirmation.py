"""Confirmations of moves by entry hosts, and the hosts a move waits for."""

from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec

from ebonystream._ids import EpochMs, HostId, Incarnation, Offset, ZoneName
from ebonystream.move._move import Move, ZoneMove


@attrs.frozen
class Confirmation:
    """The latest known state of a live entry host.

    Attributes:
        host: The host.
        incarnation: Its incarnation; None if it has sent no heartbeat yet.
        control_next: The first offset of the control stream that it has not
            read.
        zones_in_flight: Its calls in flight, by zone.
        unreachable_since_ms: Time since which it is unreachable, by the wall
            clock, in milliseconds; None if it is reachable.
    """

    host: HostId
    incarnation: Incarnation | None
    control_next: Offset
    zones_in_flight: Mapping[ZoneName, int]
    unreachable_since_ms: EpochMs | None = None


ListConfirmations = Callable[[], Sequence[Confirmation]]
"""Lists the latest state of each live entry host, including this one."""


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


def list_waiting_hosts(
    move: Move, confirmations: Sequence[Confirmation]
) -> tuple[WaitingHost, ...]:
    """List the hosts that a move waits for; empty once all have carried it out.

    Args:
        move: The move.
        confirmations: The latest state of each live entry host.
    """
    assert confirmations, 'a host must count itself among the live ones'
    hosts = (_make_waiting_host(move, state) for state in confirmations)
    return tuple(host for host in hosts if _is_waited_for(host))


def describe_waiting(host: WaitingHost) -> str:
    """Describe for operators why a move waits for a host.

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


def _make_waiting_host(move: Move, state: Confirmation) -> WaitingHost:
    in_flight = 0
    if isinstance(move, ZoneMove) and move.is_evacuation():
        in_flight = state.zones_in_flight.get(move.zone, 0)
    return WaitingHost(
        host=state.host,
        confirmed=state.control_next > move.offset,
        in_flight=in_flight,
        unreachable_since_ms=state.unreachable_since_ms,
    )


def _is_waited_for(host: WaitingHost) -> bool:
    reachable = host.unreachable_since_ms is None
    return not (host.confirmed and reachable and host.in_flight == 0)
