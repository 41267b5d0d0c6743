"""Members are confirmed when proven alive, and unreachable when silent."""

from random import Random

import pytest
import trio

from ebonystream.membership import (
    HeartbeatTiming,
    IgnoreReason,
    ListedPeer,
    MemberState,
    choose_host,
    rank_hosts,
    scale_timing,
)
from ebonystream.membership._tombstones import MAX_TOMBSTONES, Tombstones
from ebonystream.peer import Heartbeat, Transport
from standins.members import PACE, make_empty_contents, make_member_host

LISTED = MemberState.LISTED
REACHABLE = MemberState.REACHABLE
UNREACHABLE = MemberState.UNREACHABLE
LEAVING = MemberState.LEAVING
GONE = MemberState.GONE

PEER = ListedPeer(host='b', address='127.0.0.1', port=1, zone='z')


def make_membership():
    transport = Transport(
        send=lambda host, message: None,
        receive=trio.sleep_forever,
        connect=lambda host, address, port: None,
        disconnect=lambda host: None,
    )
    return make_member_host('a', 'a1', transport, Random(1)).membership


# State of one peer after a sequence of steps. `send` sends a heartbeat to the
# peer; the first has the sequence number 1. `beat i s e` receives a heartbeat
# of its incarnation i with the sequence number s and the echo e, `leave i s e`
# one that announces that the peer is leaving. `list` and `delist` read a host
# list with and without the peer. `at t` lets time pass until t; `freeze t`
# pauses the local host until t.
SCRIPTS = [
    pytest.param('', LISTED, None, {}, id='nothing received'),
    pytest.param(
        'beat x 1 -', LISTED, None, {}, id='first heartbeat is no proof'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1',
        REACHABLE,
        'x',
        {},
        id='confirmed by an echo',
    ),
    pytest.param(
        'send beat x 1 1 beat x 2 1',
        LISTED,
        None,
        {},
        id='echo of an earlier heartbeat',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 2',
        LISTED,
        None,
        {IgnoreReason.FALSE_ECHO: 1},
        id='echo of an unsent heartbeat',
    ),
    pytest.param(
        'beat x 1 - send beat x 1 1',
        LISTED,
        None,
        {IgnoreReason.OUT_OF_ORDER: 1},
        id='duplicate',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1.6', UNREACHABLE, 'x', {}, id='silent'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 freeze 9',
        REACHABLE,
        'x',
        {},
        id='local host paused',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 freeze 9 at 10.6',
        UNREACHABLE,
        'x',
        {},
        id='local host paused, then peer silent',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 2 freeze 9',
        UNREACHABLE,
        'x',
        {},
        id='peer silent, then local host paused',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1.4',
        REACHABLE,
        'x',
        {},
        id='silent within the timeout',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 9 send beat x 3 2',
        REACHABLE,
        'x',
        {},
        id='silent, then received again',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1 beat x 3 1 at 1.8 beat x 4 1',
        UNREACHABLE,
        'x',
        {},
        id='peer receives no heartbeats',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 beat y 1 - send beat y 2 2',
        REACHABLE,
        'y',
        {},
        id='restarted',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 beat y 1 - beat y 2 1',
        REACHABLE,
        'x',
        {},
        id='restarted, not confirmed',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 beat y 1 - send beat y 2 2 beat x 3 2',
        REACHABLE,
        'y',
        {IgnoreReason.GONE: 1},
        id='previous incarnation is ignored',
    ),
    pytest.param(
        'beat x 1 - beat y 1 - send beat y 2 1 beat x 2 1 send beat y 3 2',
        REACHABLE,
        'y',
        {},
        id='two incarnations, only the first proof counts',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 leave x 3 1', LEAVING, 'x', {}, id='leaving'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 leave x 3 1 at 1.6',
        GONE,
        None,
        {},
        id='left',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 leave x 3 1 at 1.6 beat x 4 1',
        GONE,
        None,
        {IgnoreReason.GONE: 1},
        id='left, then a delayed heartbeat',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 leave x 3 1 at 1.6 '
        'beat y 1 - send beat y 2 2',
        REACHABLE,
        'y',
        {},
        id='left and replaced',
    ),
    pytest.param('delist', None, None, {}, id='delisted, never received'),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist',
        REACHABLE,
        'x',
        {},
        id='delisted, still received',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 29',
        UNREACHABLE,
        'x',
        {},
        id='delisted and silent',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 31',
        None,
        None,
        {},
        id='delisted and evicted',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 31 list beat x 3 1',
        LISTED,
        None,
        {},
        id='evicted and listed again',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 31 '
        'list beat x 3 1 send beat x 4 2',
        REACHABLE,
        'x',
        {},
        id='evicted, listed again and confirmed',
    ),
    pytest.param(
        'delist beat x 1 -',
        None,
        None,
        {IgnoreReason.UNLISTED: 1},
        id='never listed',
    ),
    pytest.param(
        'beat a1 1 -',
        LISTED,
        None,
        {IgnoreReason.INCARNATION_IN_USE: 1},
        id='incarnation of another host',
    ),
]


def run_step(membership, words, now):
    """Run the next step of a script, and return the time after it."""
    match words.pop(0):
        case 'list':
            membership.apply_host_list([PEER], 0)
        case 'delist':
            membership.apply_host_list([], 0)
        case 'send':
            member = membership.table.peers['b']
            membership.make_heartbeat(member, make_empty_contents(), now)
        case 'freeze':
            now = float(words.pop(0))
        case 'at':
            until = float(words.pop(0))
            while now < until:
                update_states(membership, now)
                now = round(now + 0.1, 1)
        case kind:
            incarnation, sequence, echo = words[:3]
            del words[:3]
            heartbeat = Heartbeat(
                'b',
                incarnation,
                'z',
                int(sequence),
                leaving=kind == 'leave',
                recipient=None if echo == '-' else 'a1',
                echo=None if echo == '-' else int(echo),
            )
            membership.receive_heartbeat(heartbeat, now)
    return now


def update_states(membership, now):
    for member in list(membership.table.peers.values()):
        membership.update_state(member, now)


@pytest.mark.parametrize(('script', 'state', 'incarnation', 'ignored'), SCRIPTS)
def test_state_of_one_peer(script, state, incarnation, ignored):
    membership = make_membership()
    membership.apply_host_list([PEER], 0)
    words, now = script.split(), 0
    while words:
        now = run_step(membership, words, now)
        update_states(membership, now)
    members = membership.table.list_members()
    states = [member.state for member in members]
    assert states == [state] * (state is not None)
    if incarnation is not None:
        assert membership.table.find_host(incarnation) == 'b'
        assert members[0].heartbeat.incarnation == incarnation
    is_unreachable = state not in {REACHABLE, LEAVING, None}
    assert is_unreachable == any(
        member.unreachable_since is not None for member in members
    )
    eligible = {'a', 'b'} if state is REACHABLE else {'a'}
    assert set(membership.table.list_eligible()) == eligible
    assert membership.ignored_heartbeats == ignored


@pytest.mark.parametrize(
    ('corrupt', 'script'),
    [
        (lambda membership: membership.tombstones.add('x'), ''),
        (lambda membership: membership.tombstones.add('x'), 'at 1'),
        (
            lambda membership: membership.table.peers.update(
                c=membership.table.peers['b']
            ),
            'beat y 1 - send beat y 2 2',
        ),
        (
            lambda membership: membership.table.peers.update(
                c=membership.table.peers['b']
            ),
            'list',
        ),
    ],
)
def test_invariants_are_asserted(corrupt, script):
    membership = make_membership()
    membership.apply_host_list([PEER], 0)
    words = 'beat x 1 - send beat x 2 1'.split()
    while words:
        run_step(membership, words, 0)
    corrupt(membership)
    words = script.split()
    with pytest.raises(AssertionError):
        while words:
            run_step(membership, words, 0)
        update_states(membership, 0)


@pytest.mark.parametrize(
    ('peers', 'period', 'timeout'),
    [(0, 0.25, 1.5), (8, 0.25, 1.5), (16, 0.5, 1.5), (64, 2, 6)],
)
def test_timing_by_number_of_peers(peers, period, timeout):
    timing = scale_timing(PACE, peers=peers, heartbeats_per_second=32)
    assert timing == HeartbeatTiming(period=period, timeout=timeout)


HOSTS = [f'entry-{number}' for number in range(17)]


def test_only_the_keys_of_a_host_that_leaves_move():
    keys = [f'slice {number}' for number in range(500)]
    owned = {host: 0 for host in HOSTS}
    for key in keys:
        order = rank_hosts(HOSTS, key)
        assert order == rank_hosts(reversed(HOSTS), key)
        assert order[0] == choose_host(HOSTS, key)
        assert rank_hosts(order[1:], key) == order[1:]
        owned[order[0]] += 1
    assert 10 < min(owned.values()) <= max(owned.values()) < 60
    assert choose_host([], 'key') is None


def test_number_of_tombstones_is_bounded():
    tombstones = Tombstones()
    for number in range(MAX_TOMBSTONES + 5):
        tombstones.add(str(number))
    assert len(tombstones.incarnations) == MAX_TOMBSTONES
    assert '4' not in tombstones
    assert '5' in tombstones
