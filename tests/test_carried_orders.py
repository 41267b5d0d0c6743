"""Evacuations and moves across a return of the store."""

import attrs
import pytest
from test_gossip import make_listing

from ebonystream.orders import Orders, VersionOrder

LATER = 10.0
"""When the orders that were carried from time 0 are in force no longer."""


def make_move(number, version='v2', within=12):
    return VersionOrder(
        id=f'rollout/x@{number}', service='x', version=version, within=within
    )


def update(orders, at, era, end, zones=(), moves=()):
    listing = make_listing(end=end, zones=zones)
    orders.update(attrs.evolve(listing, era=era, moves=moves), float(at))


@pytest.mark.parametrize(
    ('listings', 'now', 'zones'),
    [
        # Each listing: time, era, end, evacuated zones.
        ([(0, 1, 8, 'ab')], 1, 'ab'),
        ([(0, 1, 8, 'ab'), (0, 1, 9, 'a')], 1, 'a'),
        # Lost, and not written again yet.
        ([(0, 1, 8, 'ab'), (0, 2, 3, 'a')], 9.9, 'ab'),
        ([(0, 1, 8, 'ab'), (0, 2, 3, 'a')], LATER, 'a'),
        # Written again, and then ended by the operator.
        ([(0, 1, 8, 'b'), (0, 2, 3, ''), (1, 2, 4, 'b')], LATER, 'b'),
        (
            [(0, 1, 8, 'b'), (0, 2, 3, ''), (1, 2, 4, 'b'), (2, 2, 5, '')],
            2,
            '',
        ),
        # What was carried is carried on by a second return.
        ([(0, 1, 8, 'b'), (0, 2, 3, ''), (9, 3, 3, '')], 18.9, 'b'),
        ([(0, 1, 8, 'b'), (0, 2, 3, ''), (11, 3, 3, '')], 11, ''),
        # The first listing of a host carries nothing.
        ([(0, 2, 3, '')], 1, ''),
    ],
)
def test_evacuated_zones(listings, now, zones):
    orders = Orders()
    for listing in listings:
        update(orders, *listing)
    assert orders.get_zones_out(now) == frozenset(zones)


KNOWN = make_move(7)


@pytest.mark.parametrize(
    ('listings', 'now', 'ids'),
    [
        ([], 1, [7]),
        ([(1, 3, [])], 9.9, [7]),
        ([(1, 3, [])], LATER + 1, []),
        # Not lost, and written again at another offset.
        ([(1, 8, [KNOWN])], 1, [7]),
        ([(1, 3, [make_move(3)])], 1, [7]),
        ([(1, 3, [make_move(3)])], 99, [7]),
        ([(1, 3, []), (2, 4, [make_move(4)]), (3, 5, [make_move(4)])], 99, [7]),
        # Each is found once: another one is a new order.
        ([(1, 4, [make_move(3)]), (2, 5, [make_move(4)])], 2, [4]),
        ([(1, 4, [make_move(3), make_move(4)])], 2, [7, 4]),
        # Other terms, and the same terms too late.
        ([(1, 3, [make_move(3, within=9)])], 2, [3, 7]),
        ([(1, 3, [make_move(3, version='v3')])], 2, [3, 7]),
        ([(1, 3, []), (12, 4, [make_move(4)])], 12, [4]),
        # Another move at the offset of the one that was lost.
        ([(1, 8, [make_move(7, version='v3')])], 2, ['7.2', 7]),
        ([(1, 3, []), (12, 8, [KNOWN])], 12, ['7.2']),
    ],
)
def test_moves(listings, now, ids):
    orders = Orders()
    update(orders, 0, 1, 8, moves=(KNOWN,))
    for at, end, moves in listings:
        update(orders, at, 2, end, moves=tuple(moves))
    found = [move.id for move in orders.list_moves(now)]
    assert found == [f'rollout/x@{number}' for number in ids]


def test_moves_are_carried_on_by_a_second_return():
    orders = Orders()
    update(orders, 0, 1, 8, moves=(KNOWN,))
    update(orders, 1, 2, 4, moves=(make_move(3),))
    update(orders, 30, 3, 2)
    update(orders, 31, 3, 3, moves=(make_move(2),))
    assert orders.list_moves(99.0) == (KNOWN,)
