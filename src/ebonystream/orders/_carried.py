"""Orders that stay in force after a return of the store from an older copy.

The operator writes again what the store has lost, but may not have done so yet.
"""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import Monotonic, MoveId, Seconds, StoreEra, ZoneName
from ebonystream.orders._version_order import VersionOrder

REWRITE_TIME = Seconds(10)
"""How long the operator may take to write lost orders again, in seconds."""


@attrs.frozen(kw_only=True)
class CarriedOrders:
    """Orders of the previous era that are not listed in the present one.

    Attributes:
        zones_out: Evacuated zones.
        moves: Version moves.
        era: The present era.
        earlier_ids: Identifiers of all moves that were in force as it began.
        ends_at: Until when they are in force.
        known_ids: Identifiers of moves in the previous era, by those of the
            same moves in the present one.
    """

    zones_out: frozenset[ZoneName] = frozenset()
    moves: tuple[VersionOrder, ...] = ()
    era: StoreEra = StoreEra(0)
    earlier_ids: frozenset[MoveId] = frozenset()
    ends_at: Monotonic = Monotonic(0)
    known_ids: Mapping[MoveId, MoveId] = MappingProxyType({})

    def list_zones_out(self, now: Monotonic) -> frozenset[ZoneName]:
        """List the evacuated zones in force.

        Args:
            now: The current time.
        """
        return self.zones_out if now < self.ends_at else frozenset()

    def list_moves(self, now: Monotonic) -> tuple[VersionOrder, ...]:
        """List the version moves in force.

        Args:
            now: The current time.
        """
        return self.moves if now < self.ends_at else ()


def carry_orders(
    zones_out: frozenset[ZoneName],
    moves: tuple[VersionOrder, ...],
    *,
    era: StoreEra,
    now: Monotonic,
) -> CarriedOrders:
    """Carry the orders in force into a new era.

    Args:
        zones_out: Evacuated zones.
        moves: Version moves.
        era: The new era.
        now: The current time.
    """
    return CarriedOrders(
        zones_out=zones_out,
        moves=moves,
        era=era,
        earlier_ids=frozenset(move.id for move in moves),
        ends_at=Monotonic(now + REWRITE_TIME),
    )


def drop_listed_zones(
    carried: CarriedOrders, listed: frozenset[ZoneName]
) -> CarriedOrders:
    """Drop evacuated zones that are listed, so that the listing counts alone.

    Args:
        carried: Carried orders.
        listed: Evacuated zones in a listing of the present era.
    """
    return attrs.evolve(carried, zones_out=carried.zones_out.difference(listed))


def drop_listed_moves(
    carried: CarriedOrders, listed: tuple[VersionOrder, ...], now: Monotonic
) -> CarriedOrders:
    """Drop moves that are listed, and keep the identifiers that they had.

    Their records have other offsets now. Each carried move is found once.

    Args:
        carried: Carried orders.
        listed: Moves in a listing of the present era.
        now: The current time.
    """
    known_ids = dict(carried.known_ids)
    waiting = list(carried.list_moves(now))
    for move in listed:
        same = next((one for one in waiting if one.has_terms_of(move)), None)
        if same is not None and move.id not in known_ids:
            known_ids[move.id] = same.id
            waiting.remove(same)
    return attrs.evolve(
        carried, moves=tuple(waiting), known_ids=MappingProxyType(known_ids)
    )


def identify_move(move: VersionOrder, carried: CarriedOrders) -> VersionOrder:
    """Return a listed move with the identifier by which hosts know it.

    An offset of the previous era may be that of another move in this one.

    Args:
        move: A move in a listing of the present era.
        carried: Carried orders, after `drop_listed_moves`.
    """
    known_id = carried.known_ids.get(move.id)
    if known_id is not None:
        return attrs.evolve(move, id=known_id)
    if move.id in carried.earlier_ids:
        return attrs.evolve(move, id=MoveId(f'{move.id}.{carried.era}'))
    return move
