"""The number of entry hosts that the retry budget is divided by."""

from types import SimpleNamespace

import pytest

from ebonystream.entryhost._retry_budget import _count_hosts
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
def test_number_of_hosts_that_share_the_retry_budget(others, now, hosts):
    facts = HostFactTable('own', 'a')
    for index in range(others):
        facts.update(make_facts(f'e{index}'), 0.0)
    parts = SimpleNamespace(
        facts=facts, timers=SimpleNamespace(now=lambda: now)
    )
    assert _count_hosts(parts) == hosts
