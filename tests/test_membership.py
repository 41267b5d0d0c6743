"""Members are believed when they prove to be alive, and judged by silence."""

from random import Random

import pytest
import trio

from ebonystream.membership import (
    IgnoreReason,
    ListedPeer,
    MemberState,
    Pace,
    choose_first,
    choose_pace,
    rank,
)
from ebonystream.membership._tombstones import MAX_TOMBSTONES, Tombstones
from ebonystream.peer import Heartbeat, Transport
from standins.members import PACE, make_member_host, read_nothing

LISTED = MemberState.LISTED
REACHABLE = MemberState.REACHABLE
UNREACHABLE = MemberState.UNREACHABLE
LEAVING = MemberState.LEAVING
GONE = MemberState.GONE

PEER = ListedPeer(host='b', address='127.0.0.1', port=1, zone='z')


def make_membership():
    nothing = Transport(
        send=lambda host, sent: None,
        receive=trio.sleep_forever,
        connect=lambda host, address, port: None,
        disconnect=lambda host: None,
    )
    return make_member_host('a', 'a1', nothing, Random(1)).membership


# One host's view of one peer, step by step. `send n` sends the heartbeat n to
# the peer; `beat i s e` takes one of its incarnation i with the sequence s and
# the echo e, `leave i s e` one that says it is leaving; `list` and `delist`
# read the host list; `at t` lets time go by; `freeze t` too, but the host
# itself was paused meanwhile.
SCRIPTS = [
    pytest.param('', LISTED, None, {}, id='not heard'),
    pytest.param('beat x 1 -', LISTED, None, {}, id='no proof'),
    pytest.param('beat x 1 - send beat x 2 1', REACHABLE, 'x', {}, id='proof'),
    pytest.param(
        'send beat x 1 1 beat x 2 1', LISTED, None, {}, id='echo too old'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 2',
        LISTED,
        None,
        {IgnoreReason.FALSE_ECHO: 1},
        id='false echo',
    ),
    pytest.param(
        'beat x 1 - send beat x 1 1',
        LISTED,
        None,
        {IgnoreReason.OLD: 1},
        id='doubled',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1.6', UNREACHABLE, 'x', {}, id='silent'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 freeze 9', REACHABLE, 'x', {}, id='frozen'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 freeze 9 at 10.6',
        UNREACHABLE,
        'x',
        {},
        id='frozen, then silent',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 2 freeze 9',
        UNREACHABLE,
        'x',
        {},
        id='silent, then frozen',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1.4', REACHABLE, 'x', {}, id='not yet'
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 9 send beat x 3 2',
        REACHABLE,
        'x',
        {},
        id='paused and back',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 at 1 beat x 3 1 at 1.8 beat x 4 1',
        UNREACHABLE,
        'x',
        {},
        id='heard, but hears nothing',
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
        id='restart without proof',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 beat y 1 - send beat y 2 2 beat x 3 2',
        REACHABLE,
        'y',
        {IgnoreReason.GONE: 1},
        id='gone stays gone',
    ),
    pytest.param(
        'beat x 1 - beat y 1 - send beat y 2 1 beat x 2 1 send beat y 3 2',
        REACHABLE,
        'y',
        {},
        id='two candidates, the late proof counts no more',
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
        id='left and heard late',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 leave x 3 1 at 1.6 '
        'beat y 1 - send beat y 2 2',
        REACHABLE,
        'y',
        {},
        id='left and replaced',
    ),
    pytest.param('delist', None, None, {}, id='delisted, never heard'),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist',
        REACHABLE,
        'x',
        {},
        id='delisted, but heard',
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
        id='delisted and silent for long',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 31 list beat x 3 1',
        LISTED,
        None,
        {},
        id='forgotten and listed again',
    ),
    pytest.param(
        'beat x 1 - send beat x 2 1 delist at 31 '
        'list beat x 3 1 send beat x 4 2',
        REACHABLE,
        'x',
        {},
        id='cut off for long, listed again and back',
    ),
    pytest.param(
        'delist beat x 1 -',
        None,
        None,
        {IgnoreReason.UNLISTED: 1},
        id='never listed',
    ),
    pytest.param(
        'beat a1 1 -', LISTED, None, {IgnoreReason.TAKEN: 1}, id='taken'
    ),
]


def take_step(membership, words, now):
    """Take the next step of a script, and give the time after it."""
    match words.pop(0):
        case 'list':
            membership.replace_listed([PEER], 0)
        case 'delist':
            membership.replace_listed([], 0)
        case 'send':
            member = membership.table.peers['b']
            membership.make_heartbeat(member, read_nothing(), now)
        case 'freeze':
            now = float(words.pop(0))
        case 'at':
            until = float(words.pop(0))
            while now < until:
                judge(membership, now)
                now = round(now + 0.1, 1)
        case kind:
            incarnation, sequence, echo = words[:3]
            del words[:3]
            beat = Heartbeat(
                'b',
                incarnation,
                'z',
                int(sequence),
                leaving=kind == 'leave',
                recipient=None if echo == '-' else 'a1',
                heard=None if echo == '-' else int(echo),
            )
            membership.take_heartbeat(beat, now)
    return now


def judge(membership, now):
    for member in list(membership.table.peers.values()):
        membership.judge(member, now)


@pytest.mark.parametrize(('script', 'state', 'incarnation', 'ignored'), SCRIPTS)
def test_one_peer(script, state, incarnation, ignored):
    membership = make_membership()
    membership.replace_listed([PEER], 0)
    words, now = script.split(), 0
    while words:
        now = take_step(membership, words, now)
        judge(membership, now)
    members = membership.table.list_members()
    assert [one.state for one in members] == [state] * (state is not None)
    if incarnation is not None:
        assert membership.table.find_host(incarnation) == 'b'
        assert members[0].heartbeat.incarnation == incarnation
    silent = state not in {REACHABLE, LEAVING, None}
    assert any(one.silent_since is not None for one in members) == silent
    fit = {'a', 'b'} if state is REACHABLE else {'a'}
    assert set(membership.table.list_fit()) == fit
    assert membership.ignored == ignored


@pytest.mark.parametrize(
    ('breaks', 'then'),
    [
        (lambda one: one.tombstones.add('x'), ''),
        (lambda one: one.tombstones.add('x'), 'at 1'),
        (
            lambda one: one.table.peers.update(c=one.table.peers['b']),
            'beat y 1 - send beat y 2 2',
        ),
        (
            lambda one: one.table.peers.update(c=one.table.peers['b']),
            'list',
        ),
    ],
)
def test_invariants_are_asserted(breaks, then):
    membership = make_membership()
    membership.replace_listed([PEER], 0)
    words = 'beat x 1 - send beat x 2 1'.split()
    while words:
        take_step(membership, words, 0)
    breaks(membership)
    words = then.split()
    with pytest.raises(AssertionError):
        while words:
            take_step(membership, words, 0)
        judge(membership, 0)


@pytest.mark.parametrize(
    ('peers', 'period', 'silence'),
    [(0, 0.25, 1.5), (8, 0.25, 1.5), (16, 0.5, 1.5), (64, 2, 6)],
)
def test_pace(peers, period, silence):
    pace = choose_pace(PACE, peers=peers, heartbeats_per_second=32)
    assert pace == Pace(period=period, silence=silence)


HOSTS = [f'entry-{number}' for number in range(17)]


def test_rank_moves_only_the_keys_of_the_host_that_left():
    keys = [f'slice {number}' for number in range(500)]
    owned = {host: 0 for host in HOSTS}
    for key in keys:
        order = rank(HOSTS, key)
        assert order == rank(reversed(HOSTS), key)
        assert order[0] == choose_first(HOSTS, key)
        assert rank(order[1:], key) == order[1:]
        owned[order[0]] += 1
    assert 10 < min(owned.values()) <= max(owned.values()) < 60
    assert choose_first([], 'key') is None


def test_tombstones_are_bounded():
    tombstones = Tombstones()
    for number in range(MAX_TOMBSTONES + 5):
        tombstones.add(str(number))
    assert len(tombstones.gone) == MAX_TOMBSTONES
    assert '4' not in tombstones
    assert '5' in tombstones
