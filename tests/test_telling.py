"""Loads are correct at the receiver, whichever heartbeats get lost."""

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
from ebonystream.membership._revisions import omit_known_loads, restore_loads
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
    ('reply', 'whole'),
    [
        pytest.param(None, True, id='nothing received'),
        pytest.param(
            {'recipient': None, 'known_revision': 3}, True, id='no recipient'
        ),
        pytest.param(
            {'recipient': 'x', 'known_revision': 3}, False, id='known'
        ),
        pytest.param(
            {'recipient': 'x', 'known_revision': 2},
            True,
            id='older revision known',
        ),
        pytest.param(
            {'recipient': 'x', 'known_revision': 4},
            True,
            id='unsent revision known',
        ),
        pytest.param(
            {'recipient': 'w', 'known_revision': 3},
            True,
            id='other incarnation',
        ),
    ],
)
def test_known_loads_are_omitted(reply, whole):
    newest = None if reply is None else Heartbeat('b', 'y', 'z', 1, **reply)
    sent = omit_known_loads(make_beat(revision=3), newest)
    assert sent.has_loads == whole
    assert bool(sent.loads) == whole
    assert omit_known_loads(make_beat(revision=0), newest).has_loads


@pytest.mark.parametrize(
    ('newest', 'calls'),
    [
        pytest.param(None, None, id='nothing received'),
        pytest.param(make_beat(revision=3, calls=7), 7, id='known'),
        pytest.param(make_beat(revision=2), None, id='older revision'),
        pytest.param(make_beat(revision=4), None, id='newer revision'),
        pytest.param(make_beat('w', revision=3), None, id='other incarnation'),
    ],
)
def test_omitted_loads_are_restored(newest, calls):
    shortened = Heartbeat('a', 'x', 'z', 6, revision=3, has_loads=False)
    restored = restore_loads(shortened, newest)
    loads = None if restored is None else (restored.loads, restored.has_loads)
    assert loads == (None if calls is None else (make_loads(calls), True))


class Pair:
    """Two hosts that may restart, and all heartbeats that were ever sent."""

    def __init__(self):
        self.starts = 0
        self.calls = dict.fromkeys('ab', 0)
        self.hosts = {}
        self.sent = []
        for host in 'ab':
            self.start(host)

    def start(self, host):
        """Start the next incarnation of a host; its revisions start at 1."""
        self.starts += 1
        transport = Transport(
            send=lambda host, message: None,
            receive=trio.sleep_forever,
            connect=lambda host, address, port: None,
            disconnect=lambda host: None,
        )
        run = make_member_host(
            host, f'{host}{self.starts}', transport, Random(1)
        )
        peer = ListedPeer(
            host='ab'[host == 'a'], address='127.0.0.1', port=1, zone='z'
        )
        run.membership.apply_host_list([peer], 0)
        revisions = LoadRevisions(lambda: make_loads(self.calls[host]))
        self.hosts[host] = run.membership, revisions

    def change(self, host):
        """Change the loads of a host to new ones."""
        self.calls[host] += 1

    def send(self, host):
        """Send a heartbeat, record its loads, and return its index."""
        membership, revisions = self.hosts[host]
        (member,) = membership.table.peers.values()
        contents = revisions.add_loads(HeartbeatContents())
        heartbeat = membership.make_heartbeat(member, contents, 0)
        self.sent.append(
            (host, msgspec.msgpack.encode(heartbeat), contents.loads)
        )
        return len(self.sent) - 1

    def deliver(self, number):
        """Deliver any heartbeat that was ever sent, perhaps repeatedly."""
        host, encoded, loads = self.sent[number % len(self.sent)]
        heartbeat = msgspec.msgpack.decode(encoded, type=Heartbeat)
        membership = self.hosts['ab'[host == 'a']][0]
        accepted = membership.receive_heartbeat(heartbeat, 0)
        (member,) = membership.table.peers.values()
        assert accepted is None or accepted.loads == loads
        assert member.last_heartbeat is None or member.last_heartbeat.has_loads
        return heartbeat, accepted


STEPS = st.one_of(
    st.tuples(st.sampled_from(('send', 'change')), st.sampled_from('ab')),
    st.tuples(st.just('exchange'), st.sampled_from('ab')),
    st.tuples(st.just('deliver'), st.integers(0, 200)),
    st.tuples(st.just('start'), st.sampled_from('ab')),
)


# Loads that change after the peer has them; random steps don't always do so.
CHANGED = [('exchange', host) for host in 'abababab']
CHANGED += [('change', 'a'), ('exchange', 'a')]


@given(st.lists(STEPS, max_size=60))
@example(CHANGED)
def test_only_correct_loads_are_accepted(steps):
    """Heartbeats get lost, duplicated and delayed; later the hosts agree."""
    pair = Pair()
    for step, which in steps:
        if step == 'deliver' and pair.sent:
            pair.deliver(which)
        elif step == 'exchange':
            pair.deliver(pair.send(which))
        elif step in {'send', 'change', 'start'}:
            getattr(pair, step)(which)
    for _ in range(ROUNDS):
        deliveries = [pair.deliver(pair.send(host)) for host in 'ab']
    for host, (heartbeat, accepted) in zip('ab', deliveries, strict=True):
        assert not heartbeat.has_loads
        assert accepted.loads == make_loads(pair.calls[host])


def test_unknown_loads_are_counted_and_not_echoed():
    pair = Pair()
    pair.deliver(pair.send('a'))
    pair.deliver(pair.send('b'))
    shortened = pair.send('a')
    pair.start('b')
    pair.deliver(shortened)
    membership = pair.hosts['b'][0]
    assert membership.ignored_heartbeats == {IgnoreReason.UNKNOWN_LOADS: 1}
    assert membership.table.peers['a'].last_heartbeat is None
