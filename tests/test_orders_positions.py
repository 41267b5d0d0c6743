"""What a host makes of listings and proofs, across returns of the store."""

import attrs
import pytest
from test_gossip import make_listing

from ebonystream.orders import Orders, OrdersPosition, OrdersUpdate

TAKEN, CONFIRMED = OrdersUpdate.TAKEN, OrdersUpdate.CONFIRMED
OUTDATED = OrdersUpdate.OUTDATED


def update(orders, era, end, version, at):
    listing = make_listing(version=version, end=end)
    return orders.update(attrs.evolve(listing, era=era), float(at))


@pytest.mark.parametrize(
    ('lower', 'higher'),
    [((0, 0), (0, 1)), ((1, 9), (2, 0)), ((1, 9), (2, 9)), ((0, 99), (1, 4))],
)
def test_positions_are_ordered_by_the_era_first(lower, higher):
    assert OrdersPosition(*lower) < OrdersPosition(*higher)


@pytest.mark.parametrize(
    ('listings', 'updates', 'position', 'version', 'confirmed_at'),
    [
        # Each listing: era, end, version of its configuration.
        ([(1, 8, 8)], [TAKEN], (1, 8), 8, 0),
        ([(1, 8, 8), (1, 8, 8)], [TAKEN, CONFIRMED], (1, 8), 8, 1),
        ([(1, 8, 8), (1, 9, 9)], [TAKEN, TAKEN], (1, 9), 9, 1),
        # A store that is behind this host, or a late response.
        ([(1, 8, 8), (1, 7, 7)], [TAKEN, OUTDATED], (1, 8), 8, 0),
        # The store has returned: a lower end, the same one, a higher one.
        ([(1, 8, 8), (2, 3, 8)], [TAKEN, TAKEN], (2, 3), 8, 1),
        ([(1, 8, 8), (2, 8, 9)], [TAKEN, TAKEN], (2, 8), 9, 1),
        ([(1, 8, 8), (2, 9, 9)], [TAKEN, TAKEN], (2, 9), 9, 1),
        # The operator has not written again what was lost: nothing reverts.
        ([(1, 8, 8), (2, 3, 3)], [TAKEN, TAKEN], (2, 3), 8, 1),
        (
            [(1, 8, 8), (2, 3, 3), (2, 4, 8), (2, 5, 9)],
            [TAKEN, TAKEN, TAKEN, TAKEN],
            (2, 5),
            9,
            3,
        ),
        # A response of the older era that was under way, and one whose end is
        # the same or higher.
        ([(2, 3, 8), (1, 8, 8)], [TAKEN, OUTDATED], (2, 3), 8, 0),
        ([(2, 8, 8), (1, 8, 8)], [TAKEN, OUTDATED], (2, 8), 8, 0),
        ([(2, 3, 8), (1, 99, 9)], [TAKEN, OUTDATED], (2, 3), 8, 0),
        # Two returns, of which one was not seen.
        ([(1, 8, 8), (3, 1, 8)], [TAKEN, TAKEN], (3, 1), 8, 1),
        # A store without eras is replaced by one with them.
        ([(0, 99, 8), (1, 2, 9)], [TAKEN, TAKEN], (1, 2), 9, 1),
    ],
)
def test_listings(listings, updates, position, version, confirmed_at):
    orders = Orders()
    found = [
        update(orders, *listing, at) for at, listing in enumerate(listings)
    ]
    assert found == updates
    assert orders.position == OrdersPosition(*position)
    assert orders.configuration.version == version
    assert orders.confirmed_at == confirmed_at


@pytest.mark.parametrize(
    ('newest', 'holds'),
    [
        ((2, 8), True),
        ((1, 8), False),
        ((3, 8), False),
        ((2, 7), False),
        ((2, 9), False),
        ((3, 2), False),
        ((1, 99), False),
    ],
)
def test_a_proof_holds_for_its_position_only(newest, holds):
    orders = Orders()
    update(orders, 2, 8, 8, 0)
    orders.confirm(OrdersPosition(*newest), 5.0)
    orders.confirm_newest(OrdersPosition(*newest), 7.0)
    assert (orders.confirmed_at == 5) is holds
    assert (orders.freshness.asked_at == 7) is holds


@pytest.mark.parametrize(
    ('one', 'other', 'met'),
    [
        # Both had read before the return, to different ends.
        ([(1, 8, 8)], [(1, 6, 6)], (1, 8, 8)),
        # One has read the newer era, with the lower end.
        ([(1, 8, 8)], [(1, 6, 6), (2, 4, 8)], (2, 4, 8)),
        ([(1, 8, 8), (2, 4, 8)], [(1, 6, 6)], (2, 4, 8)),
        # Both have, one after the operator has written again.
        ([(1, 8, 8), (2, 3, 3)], [(1, 6, 6), (2, 4, 8)], (2, 4, 8)),
        # Each has seen another return.
        ([(2, 7, 8)], [(3, 2, 9)], (3, 2, 9)),
    ],
)
def test_hosts_that_meet_have_the_same_orders(one, other, met):
    hosts = [Orders(), Orders()]
    for orders, listings in zip(hosts, (one, other), strict=True):
        for listing in listings:
            update(orders, *listing, 0)
    first, second = hosts
    first.update(second.listing, 1.0)
    second.update(first.listing, 1.0)
    for orders in hosts:
        position = orders.position
        version = orders.configuration.version
        assert (position.era, position.end, version) == met


@pytest.mark.parametrize(('listed', 'shared'), [(3, 8), (8, 8), (9, 9)])
def test_a_host_that_starts_after_a_return_gets_what_is_in_force(
    listed, shared
):
    held, started = Orders(), Orders()
    update(held, 1, 8, 8, at=0)
    update(held, 2, 3, listed, at=1)
    started.update(held.listing, 1.0)
    assert started.configuration.version == shared
    assert started.position == held.position
