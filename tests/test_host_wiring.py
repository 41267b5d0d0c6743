"""What an entry host derives from those that it knows."""

from types import SimpleNamespace

import pytest

from ebonystream.entryhost._path import _count_hosts
from ebonystream.gossip import HostFacts, HostFactTable


def make_facts(name):
    return HostFacts(
        host=name,
        incarnation='1',
        sequence=1,
        zone='a',
        address='10.0.0.1',
        leaving=False,
        store_unreachable=False,
        orders_end=0,
    )


@pytest.mark.parametrize(
    ('others', 'now', 'hosts'),
    [
        (0, 0.0, 20),
        (16, 0.0, 20),
        (19, 0.0, 20),
        (99, 0.0, 100),
        (99, 70.0, 20),
    ],
)
def test_over_how_many_hosts_a_bound_is_spread(others, now, hosts):
    facts = HostFactTable('own', 'a')
    for number in range(others):
        facts.update(make_facts(f'e{number}'), 0.0)
    parts = SimpleNamespace(
        facts=facts, timers=SimpleNamespace(now=lambda: now)
    )
    assert _count_hosts(parts) == hosts
