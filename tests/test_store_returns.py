"""The store returns from an older copy: orders are in force in time all the same.

Guards against hosts that take a higher offset for newer, although it was given
out before the return (CONFIG).
"""

import pytest
import trio
from store_deployment import OPERATORS, StoreDeployment

from standins.platformstore import StoreMode

APPLY_S, AWAY_S, SETTLED_S, NEXT_S = 2.0, 0.5, 6, 3
LOST = 5
VERSIONS = 8
CALLS_PER_S = 12
"""Of each host: long polls, listings of orders, and reads of the servers."""


def write_versions(deployment, first, count):
    """Write configurations one after another; return the next version."""
    for version in range(first, first + count):
        deployment.configure(version)
    return first + count


async def return_once(deployment, version):
    """Lose what the store has acknowledged last; return the next version.

    The operator writes again what has been lost, and goes on.
    """
    deployment.store.mode = StoreMode.UNAVAILABLE
    await trio.sleep(AWAY_S)
    deployment.store.restore_without(OPERATORS, LOST)
    deployment.store.mode = StoreMode.AVAILABLE
    deployment.configure(version - 1)
    await trio.sleep(NEXT_S)
    return version


async def change_and_measure(deployment, version):
    """Write a configuration; return when all hosts had it, in seconds."""
    deployment.configure(version)
    written_at = trio.current_time()
    while set(deployment.list_versions().values()) != {version}:
        await trio.sleep(0.01)
        if trio.current_time() - written_at > 2 * APPLY_S:
            return float('inf')
    return trio.current_time() - written_at


@pytest.mark.parametrize('returns', [0, 1, 2, 3])
async def test_changes_after_a_return_are_in_force(autojump_clock, returns):
    deployment = StoreDeployment()
    version = write_versions(deployment, 1, VERSIONS)
    delays = []
    async with trio.open_nursery() as nursery:
        await deployment.start(nursery)
        await trio.sleep(SETTLED_S)
        for _ in range(returns):
            version = await return_once(deployment, version)
        for _ in range(2):
            delays.append(await change_and_measure(deployment, version))
            version += 1
        nursery.cancel_scope.cancel()
    assert max(delays) <= APPLY_S
    logged = deployment.list_events('store_returned')
    for name in deployment.hosts:
        eras = [fields['era'] for host, fields in logged if host == name]
        assert eras == list(range(2, 2 + returns))


@pytest.mark.parametrize('reader', ['e0', 'e1', 'e2'])
@pytest.mark.parametrize('isolated_after_s', [0, 1, 4])
async def test_only_one_host_had_read_what_was_lost(
    autojump_clock, reader, isolated_after_s
):
    # Two ends meet: one host had read up to the end of the older era, the
    # others not, and each has read the newer era or not as they meet.
    deployment = StoreDeployment()
    version = write_versions(deployment, 1, VERSIONS)
    async with trio.open_nursery() as nursery:
        await deployment.start(nursery)
        await trio.sleep(SETTLED_S)
        deployment.isolated = set(deployment.hosts) - {reader}
        version = write_versions(deployment, version, LOST)
        await trio.sleep(6)
        assert deployment.list_versions()[reader] == version - 1
        deployment.isolated = {reader}
        await trio.sleep(isolated_after_s)
        deployment.store.restore_without(OPERATORS, LOST)
        deployment.configure(version - 1)
        await trio.sleep(isolated_after_s)
        deployment.isolated = set()
        await trio.sleep(NEXT_S)
        delay = await change_and_measure(deployment, version)
        nursery.cancel_scope.cancel()
    assert delay <= APPLY_S


async def test_a_store_that_is_behind_is_read_at_a_pace(autojump_clock):
    # Guards against a loop over a read that gets 410 and a listing that is
    # older than the host's, without a pause.
    deployment = StoreDeployment(zones=('a',))
    write_versions(deployment, 1, VERSIONS)
    async with trio.open_nursery() as nursery:
        await deployment.start(nursery)
        await trio.sleep(SETTLED_S)
        deployment.store.restore_without(OPERATORS, LOST)
        deployment.store.era = 1
        deployment.calls.clear()
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert len(deployment.calls) <= 5 * CALLS_PER_S
    # It proves nothing, so that the age of the proof grows.
    (host,) = deployment.hosts.values()
    age = host.orders.freshness.get_age(host.timers.boot_now())
    assert age >= 5
    assert len(deployment.list_events('orders_outdated')) == 1
