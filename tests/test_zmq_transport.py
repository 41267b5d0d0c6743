"""Transports over ZeroMQ on loopback: holders of the key pair are heard."""

from contextlib import contextmanager

import pytest
import trio
import zmq
from zmq.utils import z85

from ebonystream.peer import ZmqSettings, open_zmq_transport
from ebonystream.peer._sockets import receive_parts
from ebonystream.peer._zap import ACCEPTED, DENIED, judge_client

SHARED = zmq.curve_keypair()
OTHER = zmq.curve_keypair()
MAX_BYTES = 4096
MAX_SENDS = 1000


def make_settings(keys=SHARED):
    return ZmqSettings(
        address='127.0.0.1',
        port=0,
        public_key=keys[0],
        secret_key=keys[1],
        max_message_bytes=MAX_BYTES,
        silence=1.5,
    )


async def send_until_heard(sender, receiver, host, sent):
    """Send until the connection stands; it is opened in the background."""
    async with trio.open_nursery() as nursery:

        async def repeat():
            for _ in range(MAX_SENDS):
                sender.send(host, sent)
                await trio.sleep(0.01)
            raise AssertionError('the peer heard nothing')

        nursery.start_soon(repeat)
        heard = await receiver.receive()
        nursery.cancel_scope.cancel()
    return heard


async def test_peers_hear_each_other():
    async with (
        open_zmq_transport(make_settings()) as one,
        open_zmq_transport(make_settings()) as two,
    ):
        one.connect('two', '127.0.0.1', two.port)
        two.connect('one', '127.0.0.1', one.port)
        assert await send_until_heard(one, two, 'two', b'first') == b'first'
        assert await send_until_heard(two, one, 'one', b'second') == b'second'
        for number in range(100):
            one.send('two', str(number).encode())
        heard = [await two.receive() for _ in range(100)]
        while heard[-1] != b'99':
            heard.append(await two.receive())
        assert [one for one in heard if one != b'first'] == [
            str(number).encode() for number in range(100)
        ]
        one.disconnect('two')
        unsent = one.unsent
        one.send('two', b'third')
        assert one.unsent == unsent + 1
        assert one.share().count_lost() == unsent + 1


CLOSED = {
    zmq.EVENT_DISCONNECTED,
    zmq.EVENT_HANDSHAKE_FAILED_AUTH,
    zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
}


async def wait_until_closed(monitor, scope):
    """Cancel the scope once the watched connection is closed."""
    event = 0
    while event not in CLOSED:
        parts = await receive_parts(monitor)
        event = int.from_bytes(parts[0][:2], 'little')
    scope.cancel()


@contextmanager
def open_stranger(keys, port):
    """Connect a client of its own making to a transport."""
    context = zmq.Context()
    try:
        stranger = context.socket(zmq.DEALER)
        if keys is not None:
            stranger.curve_publickey, stranger.curve_secretkey = keys
            stranger.curve_serverkey = SHARED[0]
        monitor = stranger.get_monitor_socket()
        stranger.connect(f'tcp://127.0.0.1:{port}')
        yield stranger, monitor
    finally:
        context.destroy(linger=0)


@pytest.mark.parametrize(
    ('keys', 'size'),
    [
        pytest.param(OTHER, 10, id='other key'),
        pytest.param(None, 10, id='no key'),
        pytest.param(SHARED, MAX_BYTES + 1, id='oversize'),
    ],
)
async def test_strangers_are_not_heard(keys, size):
    """A stranger is disconnected unheard, and a peer is heard after it."""
    async with (
        open_zmq_transport(make_settings()) as one,
        open_zmq_transport(make_settings()) as two,
    ):
        one.connect('two', '127.0.0.1', two.port)
        heard = []
        with open_stranger(keys, two.port) as (stranger, monitor):
            stranger.send(b'x' * size)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    wait_until_closed, monitor, nursery.cancel_scope
                )
                heard.append(await two.receive())
                nursery.cancel_scope.cancel()
        assert heard == []
        assert await send_until_heard(one, two, 'two', b'peer') == b'peer'


KEY = z85.decode(SHARED[0])


@pytest.mark.parametrize(
    ('request_parts', 'verdict'),
    [
        ([b'1.0', b'1', b'ebonystream', b'', b'', b'CURVE', KEY], ACCEPTED),
        (
            [b'1.0', b'1', b'ebonystream', b'', b'', b'CURVE', b'x' * 32],
            DENIED,
        ),
        ([b'1.0', b'1', b'other', b'', b'', b'CURVE', KEY], DENIED),
        ([b'1.0', b'1', b'ebonystream', b'', b'', b'NULL'], DENIED),
        (
            [b'1.0', b'1', b'ebonystream', b'', b'', b'PLAIN', b'a', b'b'],
            DENIED,
        ),
        ([], DENIED),
    ],
)
def test_judging(request_parts, verdict):
    assert judge_client(request_parts, public_key=KEY) == verdict
