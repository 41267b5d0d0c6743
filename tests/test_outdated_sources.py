"""Sources of orders that are behind a host: one line until they caught up."""

import attrs
import pytest
import trio
from test_gossip import make_listing
from test_zone_freshness import Simulation

from ebonystream.entryhost._outdated_sources import OutdatedSources
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.entryhost._store_sync import sync_orders
from ebonystream.orders import OrdersPosition


@pytest.mark.parametrize(
    ('compared', 'logged'),
    [
        # Source, its era and end, own ones; numbers of those with a line.
        ([('e1', 0, 4, 0, 4), ('e1', 0, 5, 0, 4)], []),
        ([('e1', 0, 3, 0, 4), ('e1', 0, 3, 0, 4), ('e1', 0, 3, 0, 5)], [0]),
        ([('e1', 0, 3, 0, 4), ('e1', 0, 4, 0, 4), ('e1', 0, 4, 0, 5)], [0, 2]),
        ([('e1', 0, 3, 0, 4), ('store', 0, 3, 0, 4)], [0, 1]),
        ([('e1', 1, 3, 0, 4), ('e2', 0, 4, 1, 3)], [1]),
    ],
)
def test_one_line_until_a_source_caught_up(compared, logged):
    lines = []
    sources = OutdatedSources(lambda event, **fields: lines.append(fields))
    for source, era, end, own_era, own_end in compared:
        sources.compare(
            source, OrdersPosition(era, end), OrdersPosition(own_era, own_end)
        )
    names = ('source', 'era', 'end', 'own_era', 'own_end')
    assert lines == [
        dict(zip(names, compared[number], strict=True)) for number in logged
    ]


async def answer_gone(end, wait):
    """Answer as for an offset that the store does not have."""
    await trio.sleep(0.1)


@pytest.mark.parametrize('source', ['store', 'store that lost records', 'e0'])
@pytest.mark.parametrize(('known_end', 'lines'), [(1, 0), (2, 0), (3, 1)])
async def test_lines_of_one_source(autojump_clock, source, known_end, lines):
    # Guards against a line with each answer of a source that stays behind.
    simulation = Simulation()
    simulation.end = 2
    peer, host = simulation.hosts['e0'], simulation.hosts['e1']
    host.orders.update(make_listing(end=known_end), 0.0)
    peer.orders.update(make_listing(end=2), 0.0)
    logged = []
    host.log_event = lambda event, **fields: logged.append({event: fields})
    reader = simulation.make_reader(host)
    if source == 'store that lost records':
        reader = attrs.evolve(reader, wait_for_orders=answer_gone)
    with trio.move_on_after(9):
        async with trio.open_nursery() as nursery:
            if source == 'e0':
                nursery.start_soon(simulation.gossip)
                await trio.sleep(0.01)
                await fetch_from_peers(host, simulation.make_fetch(host))
            await sync_orders(host, reader)
    outdated = {
        'source': source[:5],
        'era': 0,
        'end': 2,
        'own_era': 0,
        'own_end': known_end,
    }
    behind = [line for line in logged if 'orders_outdated' in line]
    assert behind == [{'orders_outdated': outdated}] * lines
