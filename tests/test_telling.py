"""A peer believes loads that are true, whatever becomes of the heartbeats."""

from random import Random

import msgspec
import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from ebonystream.membership import (
    HeartbeatContents,
    IgnoreReason,
    ListedPeer,
    LoadRevisions,
)
from ebonystream.membership._telling import complete, shorten
from ebonystream.peer import Heartbeat, ServerLoad, Transport
from standins.members import make_member_host

ROUNDS = 4


def make_loads(calls):
    return (ServerLoad('s1', calls),)


def make_beat(incarnation='x', revision=1, calls=1, **fields):
    loads = make_loads(calls)
    return Heartbeat(
        'a', incarnation, 'z', 5, loads=loads, revision=revision, **fields
    )


@pytest.mark.parametrize(
    ('answer', 'whole'),
    [
        pytest.param(None, True, id='never heard'),
        pytest.param({'recipient': None, 'known': 3}, True, id='no echo'),
        pytest.param({'recipient': 'x', 'known': 3}, False, id='known'),
        pytest.param({'recipient': 'x', 'known': 2}, True, id='older known'),
        pytest.param({'recipient': 'x', 'known': 4}, True, id='never told'),
        pytest.param({'recipient': 'w', 'known': 3}, True, id='other run'),
    ],
)
def test_what_is_left_out(answer, whole):
    newest = None if answer is None else Heartbeat('b', 'y', 'z', 1, **answer)
    sent = shorten(make_beat(revision=3), newest)
    assert sent.whole == whole
    assert bool(sent.loads) == whole
    assert shorten(make_beat(revision=0), newest).whole


@pytest.mark.parametrize(
    ('newest', 'calls'),
    [
        pytest.param(None, None, id='never heard'),
        pytest.param(make_beat(revision=3, calls=7), 7, id='known'),
        pytest.param(make_beat(revision=2), None, id='older revision'),
        pytest.param(make_beat(revision=4), None, id='newer revision'),
        pytest.param(make_beat('w', revision=3), None, id='other run'),
    ],
)
def test_what_is_filled_in(newest, calls):
    short = Heartbeat('a', 'x', 'z', 6, revision=3, whole=False)
    filled = complete(short, newest)
    told = None if filled is None else (filled.loads, filled.whole)
    assert told == (None if calls is None else (make_loads(calls), True))


class Pair:
    """Two hosts, each of which may start anew, and all that was ever sent."""

    def __init__(self):
        self.runs = 0
        self.calls = dict.fromkeys('ab', 0)
        self.hosts = {}
        self.sent = []
        for host in 'ab':
            self.start(host)

    def start(self, host):
        """Begin the next run of a host, whose revisions count from one."""
        self.runs += 1
        nothing = Transport(
            send=lambda host, sent: None,
            receive=trio.sleep_forever,
            connect=lambda host, address, port: None,
            disconnect=lambda host: None,
        )
        run = make_member_host(host, f'{host}{self.runs}', nothing, Random(1))
        peer = ListedPeer(
            host='ab'[host == 'a'], address='127.0.0.1', port=1, zone='z'
        )
        run.membership.replace_listed([peer], 0)
        revisions = LoadRevisions(lambda: make_loads(self.calls[host]))
        self.hosts[host] = run.membership, revisions

    def change(self, host):
        """Change what a host does; never to what it did before."""
        self.calls[host] += 1

    def send(self, host):
        """Send a heartbeat; what it means is kept beside its spelling."""
        membership, revisions = self.hosts[host]
        (member,) = membership.table.peers.values()
        contents = revisions.fill(HeartbeatContents())
        beat = membership.make_heartbeat(member, contents, 0)
        self.sent.append((host, msgspec.msgpack.encode(beat), contents.loads))
        return len(self.sent) - 1

    def bring(self, number):
        """Bring any heartbeat that was ever sent; it may have come before."""
        host, spelled, loads = self.sent[number % len(self.sent)]
        beat = msgspec.msgpack.decode(spelled, type=Heartbeat)
        membership = self.hosts['ab'[host == 'a']][0]
        believed = membership.take_heartbeat(beat, 0)
        (member,) = membership.table.peers.values()
        assert believed is None or believed.loads == loads
        assert member.heard is None or member.heard.whole
        return beat, believed


STEPS = st.one_of(
    st.tuples(st.sampled_from(('send', 'change')), st.sampled_from('ab')),
    st.tuples(st.just('pass'), st.sampled_from('ab')),
    st.tuples(st.just('bring'), st.integers(0, 200)),
    st.tuples(st.just('start'), st.sampled_from('ab')),
)


# Loads that change once the peer knows them: found at random, but not always.
CHANGED = [('pass', one) for one in 'abababab']
CHANGED += [('change', 'a'), ('pass', 'a')]


@given(st.lists(STEPS, max_size=60))
@example(CHANGED)
def test_no_other_loads_are_believed(steps):
    """Lost, doubled, late, and of any run; then the two agree in some turns."""
    pair = Pair()
    for step, which in steps:
        if step == 'bring' and pair.sent:
            pair.bring(which)
        elif step == 'pass':
            pair.bring(pair.send(which))
        elif step in {'send', 'change', 'start'}:
            getattr(pair, step)(which)
    for _ in range(ROUNDS):
        turns = [pair.bring(pair.send(host)) for host in 'ab']
    for host, (beat, believed) in zip('ab', turns, strict=True):
        assert not beat.whole
        assert believed.loads == make_loads(pair.calls[host])


def test_unknown_loads_are_counted_and_not_echoed():
    pair = Pair()
    pair.bring(pair.send('a'))
    pair.bring(pair.send('b'))
    short = pair.send('a')
    pair.start('b')
    pair.bring(short)
    membership = pair.hosts['b'][0]
    assert membership.ignored == {IgnoreReason.UNKNOWN_LOADS: 1}
    assert membership.table.peers['a'].heard is None
