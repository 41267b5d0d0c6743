"""Who sponsors a starting server, as one host sees the others."""

import pytest
import trio
from server_fakes import TIMERS

from ebonystream._ids import HostId, ServerId
from ebonystream.composition._fleet import make_fleet_view
from ebonystream.membership import Identity, MemberState, MemberTable
from ebonystream.membership._life import Life
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
    place = ListedPeer(
        host=HostId(name), address='', port=1, zone='a', leaving=leaving
    )
    return Member(
        place=place,
        known_since=TIMERS.now(),
        listed=listed,
        state=state,
        life=Life(newest=heartbeat, heard_at=TIMERS.now(), echoed_at=0),
    )


def make_view(own, *members):
    table = MemberTable(own=Identity(host=own, incarnation=own, zone='a'))
    table.peers.update({member.place.host: member for member in members})
    return make_fleet_view(table, TIMERS)


def list_own(view):
    return {server for server in SERVERS if view.is_sponsor(server)}


async def test_each_server_has_one_sponsor(autojump_clock):
    names = ('a', 'b', 'c')
    views = [
        make_view(own, *(make_member(one) for one in names if one != own))
        for own in names
    ]
    owned = [list_own(view) for view in views]
    assert sum(map(len, owned)) == len(SERVERS)
    assert set.union(*owned) == set(SERVERS)
    assert all(owned)
    assert not any(view.is_alone() for view in views)


@pytest.mark.parametrize(
    ('options', 'length', 'all_own'),
    [
        ({'state': UNREACHABLE}, 9, False),
        ({'state': UNREACHABLE}, 11, True),
        ({'listed': False}, 0, True),
        ({'leaving': True}, 0, True),
        ({'state': MemberState.LEAVING}, 0, True),
    ],
)
async def test_who_is_no_sponsor(autojump_clock, options, length, all_own):
    view = make_view('a', make_member('b', **options))
    await trio.sleep(length)
    assert (list_own(view) == set(SERVERS)) is all_own


@pytest.mark.parametrize(
    ('wanted', 'wanting', 'state', 'own'),
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
    autojump_clock, wanted, wanting, state, own
):
    wants = SERVERS if wanting else []
    view = make_view('a', make_member('b', state=state, wants=wants))
    for server in SERVERS if wanted else ():
        view.wants.record(server)
    count = len(list_own(view))
    expected = {'all': count == 60, 'none': not count, 'some': 0 < count < 60}
    assert expected[own]
    await trio.sleep(5)
    assert not view.wants.list_wanted()


async def test_calls_of_other_hosts_are_counted(autojump_clock):
    members = [
        make_member(name, loads=[ServerLoad(SERVERS[0], 2)]) for name in 'bc'
    ]
    view = make_view('a', *members)
    assert view.count_elsewhere(SERVERS[0]) == 4
    assert view.count_elsewhere(SERVERS[1]) == 0
    await trio.sleep(11)
    assert view.count_elsewhere(SERVERS[0]) == 0
