"""Entry hosts agree on their states again after any mix of faults."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from ebonystream.membership import MemberState
from standins.members import MemberHosts
from standins.network import Faults, Network

HOSTS = ('a', 'b', 'c', 'd', 'e')
RECOVERY_S = 5


@asynccontextmanager
async def open_hosts(seed, faults=None, hosts=HOSTS):
    random = Random(seed)
    network = Network(random, faults or Faults())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        running = MemberHosts(network=network, nursery=nursery, random=random)
        running.set_host_list(*hosts)
        for host in hosts:
            running.start(host)
        yield running
        nursery.cancel_scope.cancel()


def read_states(running, host):
    """Return the state and incarnation of each peer, as a host sees it."""
    members = running.hosts[host].membership.table.list_members()
    return {
        member.host: (member.state, member.incarnation) for member in members
    }


def check_agreement(running):
    """Assert that each host sees all others with their current incarnation."""
    alive = {
        host: (MemberState.REACHABLE, run.exchange.incarnation)
        for host, run in running.hosts.items()
    }
    for host in running.hosts:
        peers = {peer: state for peer, state in alive.items() if peer != host}
        assert read_states(running, host) == peers
    owners = {
        run.membership.table.find_owner('slice 7')
        for run in running.hosts.values()
    }
    assert len(owners) == 1


async def test_hosts_confirm_each_other(autojump_clock):
    async with open_hosts(1) as running:
        await trio.sleep(0.3)
        check_agreement(running)


@pytest.mark.parametrize(
    ('cuts', 'b_seen_by_a', 'a_seen_by_b'),
    [
        ([('a', 'b')], MemberState.UNREACHABLE, MemberState.UNREACHABLE),
        ([('b', 'a')], MemberState.UNREACHABLE, MemberState.UNREACHABLE),
        (
            [('a', 'b'), ('b', 'a')],
            MemberState.UNREACHABLE,
            MemberState.UNREACHABLE,
        ),
        ([('a', 'c')], MemberState.REACHABLE, MemberState.REACHABLE),
    ],
)
async def test_partition_between_two_hosts(
    autojump_clock, cuts, b_seen_by_a, a_seen_by_b
):
    async with open_hosts(2) as running:
        await trio.sleep(1)
        running.network.blocked_links.update(cuts)
        await trio.sleep(4)
        assert read_states(running, 'a')['b'][0] is b_seen_by_a
        assert read_states(running, 'b')['a'][0] is a_seen_by_b
        assert read_states(running, 'c')['b'][0] is MemberState.REACHABLE
        running.network.blocked_links.clear()
        await trio.sleep(1)
        check_agreement(running)


async def test_pause_and_resume(autojump_clock):
    async with open_hosts(3) as running:
        await trio.sleep(1)
        before = read_states(running, 'a')['b'][1]
        running.network.suspend('b')
        await trio.sleep(20)
        assert read_states(running, 'a')['b'] == (
            MemberState.UNREACHABLE,
            before,
        )
        running.network.resume('b')
        await trio.sleep(1)
        assert read_states(running, 'a')['b'] == (MemberState.REACHABLE, before)
        check_agreement(running)


async def test_host_leaves(autojump_clock):
    async with open_hosts(4) as running:
        await trio.sleep(1)
        running.hosts['b'].membership.leave()
        await trio.sleep(0.01)
        assert read_states(running, 'a')['b'][0] is MemberState.LEAVING
        assert 'b' not in running.hosts['a'].membership.table.list_eligible()
        assert 'b' not in running.hosts['b'].membership.table.list_eligible()
        running.kill('b')
        await trio.sleep(2)
        assert read_states(running, 'a')['b'] == (MemberState.GONE, None)
        running.set_host_list('a', 'c', 'd', 'e')
        await trio.sleep(1)
        check_agreement(running)


@pytest.mark.parametrize('seed', range(3))
async def test_all_hosts_restarted(autojump_clock, seed):
    """All hosts restart one after another."""
    faults = Faults(loss=0.05, min_delay_s=0.001, max_delay_s=0.2)
    async with open_hosts(seed, faults) as running:
        await trio.sleep(2)
        before = {run.exchange.incarnation for run in running.hosts.values()}
        for host in HOSTS:
            running.start(host)
            await trio.sleep(2)
        running.network.faults = Faults()
        await trio.sleep(RECOVERY_S)
        check_agreement(running)
        for run in running.hosts.values():
            assert not before & set(run.membership.table.hosts_by_incarnation)


def inject_fault(running, random):
    """Inject one random fault, or end one."""
    network = running.network
    host, peer = random.sample(HOSTS, 2)
    match random.choice(('cut', 'heal', 'hold', 'go', 'start', 'kill', 'list')):
        case 'cut':
            network.blocked_links.add((host, peer))
        case 'heal':
            network.blocked_links.clear()
        case 'hold' if host in running.hosts:
            network.suspend(host)
        case 'go' if host in running.hosts:
            network.resume(host)
        case 'start':
            running.start(host)
        case 'kill':
            running.kill(host)
        case 'list':
            running.set_host_list(*random.sample(HOSTS, random.randrange(6)))


async def run_with_faults(seed):
    """Inject faults for a while, then let the hosts recover."""
    faults = Faults(
        loss=0.2, duplication=0.2, min_delay_s=0.001, max_delay_s=1.2
    )
    async with open_hosts(seed, faults) as running:
        random = Random(seed)
        for _ in range(60):
            await trio.sleep(random.random() * 2)
            inject_fault(running, random)
        for host in running.hosts:
            running.network.resume(host)
        running.network.blocked_links.clear()
        running.network.faults = Faults()
        for host in HOSTS:
            if host not in running.hosts:
                running.start(host)
        running.set_host_list(*HOSTS)
        await trio.sleep(RECOVERY_S)
        check_agreement(running)


@pytest.mark.parametrize('seed', range(12))
async def test_agreement_after_random_faults(autojump_clock, seed):
    await run_with_faults(seed)
