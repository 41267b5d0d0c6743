"""Entry hosts agree on their membership again after random faults."""

from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from ebonystream.membership import MemberState
from standins.members import MemberHosts
from standins.network import Faults, Network

HOSTS = ('a', 'b', 'c', 'd', 'e')
AGREEMENT_TIMEOUT_S = 5
LONGEST_S = 40


@asynccontextmanager
async def open_hosts(seed, faults=None, hosts=HOSTS):
    random = Random(seed)
    network = Network(random, faults or Faults())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        running = MemberHosts(network=network, nursery=nursery, random=random)
        running.list_hosts(*hosts)
        for host in hosts:
            running.start(host)
        yield running
        nursery.cancel_scope.cancel()


def get_members(running, host):
    """Return the state and the incarnation of each peer, as a host sees it."""
    members = running.hosts[host].membership.table.list_members()
    return {
        member.host: (member.state, member.incarnation) for member in members
    }


def check_agreement(running):
    """Check that each host sees the current incarnation of each other host."""
    expected = {
        host: (MemberState.REACHABLE, member_host.exchange.incarnation)
        for host, member_host in running.hosts.items()
    }
    for host in running.hosts:
        peers = {
            peer: state for peer, state in expected.items() if peer != host
        }
        assert get_members(running, host) == peers
    owners = {
        member_host.membership.table.find_owner('slice 7')
        for member_host in running.hosts.values()
    }
    assert len(owners) == 1


async def test_hosts_discover_peers(autojump_clock):
    async with open_hosts(1) as running:
        await trio.sleep(0.3)
        check_agreement(running)


@pytest.mark.parametrize(
    ('blocked_links', 'state_at_a', 'state_at_b'),
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
async def test_cut_one_way(
    autojump_clock, blocked_links, state_at_a, state_at_b
):
    async with open_hosts(2) as running:
        await trio.sleep(1)
        running.network.blocked_links.update(blocked_links)
        await trio.sleep(4)
        assert get_members(running, 'a')['b'][0] is state_at_a
        assert get_members(running, 'b')['a'][0] is state_at_b
        assert get_members(running, 'c')['b'][0] is MemberState.REACHABLE
        running.network.blocked_links.clear()
        await trio.sleep(1)
        check_agreement(running)


async def test_suspended_host_returns(autojump_clock):
    async with open_hosts(3) as running:
        await trio.sleep(1)
        before = get_members(running, 'a')['b'][1]
        running.network.suspend('b')
        await trio.sleep(20)
        assert get_members(running, 'a')['b'] == (
            MemberState.UNREACHABLE,
            before,
        )
        running.network.resume('b')
        await trio.sleep(1)
        assert get_members(running, 'a')['b'] == (MemberState.REACHABLE, before)
        check_agreement(running)


async def test_leaving_host_is_removed(autojump_clock):
    async with open_hosts(4) as running:
        await trio.sleep(1)
        running.hosts['b'].membership.leave()
        await trio.sleep(0.01)
        assert get_members(running, 'a')['b'][0] is MemberState.LEAVING
        assert 'b' not in running.hosts['a'].membership.table.list_fit()
        assert 'b' not in running.hosts['b'].membership.table.list_fit()
        running.kill('b')
        await trio.sleep(2)
        assert get_members(running, 'a')['b'] == (MemberState.GONE, None)
        running.list_hosts('a', 'c', 'd', 'e')
        await trio.sleep(1)
        check_agreement(running)


@pytest.mark.parametrize('seed', range(3))
async def test_all_hosts_replaced(autojump_clock, seed):
    """Restart each host, one after another."""
    faults = Faults(loss=0.05, min_delay_s=0.001, max_delay_s=0.2)
    async with open_hosts(seed, faults) as running:
        await trio.sleep(2)
        before = {
            member_host.exchange.incarnation
            for member_host in running.hosts.values()
        }
        for host in HOSTS:
            running.start(host)
            await trio.sleep(2)
        running.network.faults = Faults()
        await trio.sleep(AGREEMENT_TIMEOUT_S)
        check_agreement(running)
        for member_host in running.hosts.values():
            assert not before & set(member_host.membership.table.hosts)


def cause_fault(running, random):
    """Cause or end one random fault of a host or of the network."""
    network = running.network
    host, peer = random.sample(HOSTS, 2)
    match random.choice(
        ('block', 'unblock', 'suspend', 'resume', 'start', 'kill', 'list')
    ):
        case 'block':
            network.blocked_links.add((host, peer))
        case 'unblock':
            network.blocked_links.clear()
        case 'suspend' if host in running.hosts:
            network.suspend(host)
        case 'resume' if host in running.hosts:
            network.resume(host)
        case 'start':
            running.start(host)
        case 'kill':
            running.kill(host)
        case 'list':
            running.list_hosts(*random.sample(HOSTS, random.randrange(6)))


async def run_with_faults(seed):
    """Cause random faults, then end them and check that the hosts agree."""
    faults = Faults(
        loss=0.2, duplication=0.2, min_delay_s=0.001, max_delay_s=1.2
    )
    async with open_hosts(seed, faults) as running:
        random = Random(seed)
        for _ in range(60):
            await trio.sleep(random.random() * 2)
            cause_fault(running, random)
        for host in running.hosts:
            running.network.resume(host)
        running.network.blocked_links.clear()
        running.network.faults = Faults()
        for host in HOSTS:
            if host not in running.hosts:
                running.start(host)
        running.list_hosts(*HOSTS)
        await trio.sleep(AGREEMENT_TIMEOUT_S)
        check_agreement(running)


@pytest.mark.parametrize('seed', range(12))
async def test_any_mix_of_faults(autojump_clock, seed):
    await run_with_faults(seed)
