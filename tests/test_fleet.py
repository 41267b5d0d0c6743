"""Selection of the sponsor of a starting server, as computed by one host."""

import pytest
import trio
from server_fakes import TIMERS

from ebonystream._ids import HostId, ServerId
from ebonystream.composition._fleet import make_fleet_view
from ebonystream.membership import Identity, MemberState, MemberTable
from ebonystream.membership._incarnations import ConfirmedIncarnation
from ebonystream.membership._member import ListedPeer, Member
from ebonystream.peer import Heartbeat, ServerLoad

REACHABLE, UNREACHABLE = MemberState.REACHABLE, MemberState.UNREACHABLE
SERVERS = [ServerId(f's{number}') for number in range(60)]


def make_member(
    name, *, state=REACHABLE, loads=(), wants=(), listed=True, leaving=False
):
    heartbeat = Heartbeat(
        host=name,
        incarnation=name,
        zone='a',
        sequence=1,
        loads=tuple(loads),
        wants=tuple(wants),
    )
    listed_peer = ListedPeer(
        host=HostId(name), address='', port=1, zone='a', leaving=leaving
    )
    return Member(
        listing=listed_peer,
        first_listed_at=TIMERS.now(),
        listed=listed,
        state=state,
        confirmed=ConfirmedIncarnation(
            last_heartbeat=heartbeat, received_at=TIMERS.now(), echoed_at=0
        ),
    )


def make_view(host, *members):
    table = MemberTable(local=Identity(host=host, incarnation=host, zone='a'))
    table.peers.update({member.listing.host: member for member in members})
    return make_fleet_view(table, TIMERS)


def list_sponsored(view):
    return {server for server in SERVERS if view.is_sponsor(server)}


async def test_each_server_has_one_sponsor(autojump_clock):
    names = ('a', 'b', 'c')
    views = [
        make_view(host, *(make_member(name) for name in names if name != host))
        for host in names
    ]
    sponsored = [list_sponsored(view) for view in views]
    assert sum(map(len, sponsored)) == len(SERVERS)
    assert set.union(*sponsored) == set(SERVERS)
    assert all(sponsored)
    assert not any(view.is_alone() for view in views)


@pytest.mark.parametrize(
    ('options', 'delay', 'sponsors_all'),
    [
        ({'state': UNREACHABLE}, 9, False),
        ({'state': UNREACHABLE}, 11, True),
        ({'listed': False}, 0, True),
        ({'leaving': True}, 0, True),
        ({'state': MemberState.LEAVING}, 0, True),
    ],
)
async def test_unavailable_host_is_no_sponsor(
    autojump_clock, options, delay, sponsors_all
):
    view = make_view('a', make_member('b', **options))
    await trio.sleep(delay)
    assert (list_sponsored(view) == set(SERVERS)) is sponsors_all


@pytest.mark.parametrize(
    ('wanted_here', 'wanted_by_peer', 'state', 'sponsored'),
    [
        (True, False, REACHABLE, 'all'),
        (False, True, REACHABLE, 'none'),
        (True, True, REACHABLE, 'some'),
        (False, False, REACHABLE, 'some'),
        (True, False, UNREACHABLE, 'some'),
        (False, True, UNREACHABLE, 'some'),
    ],
)
async def test_hosts_with_calls_are_sponsors(
    autojump_clock, wanted_here, wanted_by_peer, state, sponsored
):
    wants = SERVERS if wanted_by_peer else []
    view = make_view('a', make_member('b', state=state, wants=wants))
    for server in SERVERS if wanted_here else ():
        view.wanted_servers.record(server)
    count = len(list_sponsored(view))
    expected = {'all': count == 60, 'none': not count, 'some': 0 < count < 60}
    assert expected[sponsored]
    await trio.sleep(5)
    assert not view.wanted_servers.list_wanted()


async def test_calls_of_other_hosts_are_counted(autojump_clock):
    members = [
        make_member(name, loads=[ServerLoad(SERVERS[0], 2)]) for name in 'bc'
    ]
    view = make_view('a', *members)
    assert view.count_in_flight_elsewhere(SERVERS[0]) == 4
    assert view.count_in_flight_elsewhere(SERVERS[1]) == 0
    await trio.sleep(11)
    assert view.count_in_flight_elsewhere(SERVERS[0]) == 0
