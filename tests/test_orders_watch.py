"""What a host reports about orders that may not be the newest."""

from math import nan
from types import SimpleNamespace

import pytest
import trio
from test_gossip import make_facts, make_listing

from ebonystream._timers import Timers
from ebonystream.entryhost._gauges import GAUGES
from ebonystream.entryhost._orders_watch import ProofWatch, watch_orders
from ebonystream.gossip import HostFactTable
from ebonystream.orders import Orders

UNPROVEN, PROVEN = 'orders_unproven', 'orders_proven'


@pytest.mark.parametrize(
    ('ages', 'changes'),
    [
        # Time and age of the proof; reports: time, state, time above the bound.
        ([(1, 0), (3, 2)], []),
        ([(3, 2.5), (4, 3.5)], [(3, UNPROVEN, None)]),
        ([(3, 2.5), (4, 0.5)], [(3, UNPROVEN, None), (4, PROVEN, 1.5)]),
        # A proof was never given.
        ([(2, None)], []),
        ([(3, None), (9, 1)], [(3, UNPROVEN, None), (9, PROVEN, 7)]),
        # Late again within 10 s: not reported, unless it lasts.
        (
            [(3, 3), (4, 0), (7, 3), (8, 0)],
            [(3, UNPROVEN, None), (4, PROVEN, 2)],
        ),
        (
            [(3, 3), (4, 0), (7, 3), (14, 10), (15, 0)],
            [
                (3, UNPROVEN, None),
                (4, PROVEN, 2),
                (14, UNPROVEN, None),
                (15, PROVEN, 9),
            ],
        ),
    ],
)
def test_changes_of_the_proof(ages, changes):
    watch = ProofWatch(started_at=0, bound=2)
    found = [(now, watch.update(age, now)) for now, age in ages]
    assert changes == [
        (now, change.state.value, change.unproven_for)
        for now, change in found
        if change is not None
    ]


@pytest.mark.parametrize(
    ('ends', 'heard_end', 'heard_from'),
    [({}, None, None), ({'e1': 3}, 3, 'e1'), ({'e1': 3, 'e2': 6}, 6, 'e2')],
)
async def test_lines_and_gauges(autojump_clock, ends, heard_end, heard_from):
    lines = []
    host = SimpleNamespace(
        orders=Orders(),
        facts=HostFactTable('e0', 'a'),
        timers=Timers(epoch_offset=0),
        settings=SimpleNamespace(
            name='e0', limits=SimpleNamespace(revoke=None, apply_time=2.0)
        ),
        log_event=lambda event, **fields: lines.append((event, fields)),
    )
    for name, end in {'e0': 99, **ends}.items():
        host.facts.update(make_facts(name, orders_end=end), 0.0)
    host.orders.update(make_listing(end=4), 0.0)
    host.orders.confirm_newest(host.orders.position, host.timers.boot_now())
    gauges = [
        GAUGES[f'ebonystream_orders_{name}'] for name in ('end', 'heard_end')
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_orders, host)
        await trio.sleep(2.4)
        shown = [gauge.read(host) for gauge in gauges]
        host.orders.confirm_newest(host.orders.position, host.timers.boot_now())
        await trio.sleep(0.6)
        nursery.cancel_scope.cancel()
    heard = {'end': 4, 'heard_end': heard_end, 'heard_from': heard_from}
    assert lines == [
        (UNPROVEN, {'age_s': 2.25, **heard}),
        (PROVEN, {'age_s': 0.1, 'unproven_s': 0.5, **heard}),
    ]
    assert shown == pytest.approx([4, heard_end or nan], nan_ok=True)
    # By now no peer is alive.
    assert gauges[1].read(host) == pytest.approx(nan, nan_ok=True)
