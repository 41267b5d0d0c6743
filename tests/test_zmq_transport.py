"""ZeroMQ transports on loopback accept only holders of the key pair."""

from contextlib import contextmanager

import pytest
import trio
import zmq
from zmq.utils import z85

from ebonystream.peer import ZmqSettings, open_zmq_transport
from ebonystream.peer._sockets import receive_parts
from ebonystream.peer._zap import ACCEPTED, DENIED, check_client

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
        connection_timeout=1.5,
    )


async def send_until_received(sender, receiver, host, message):
    """Send until the connection, opened in the background, is established."""
    async with trio.open_nursery() as nursery:

        async def repeat():
            for _ in range(MAX_SENDS):
                sender.send(host, message)
                await trio.sleep(0.01)
            raise AssertionError('the peer received nothing')

        nursery.start_soon(repeat)
        received = await receiver.receive()
        nursery.cancel_scope.cancel()
    return received


async def test_peers_receive_messages():
    async with (
        open_zmq_transport(make_settings()) as one,
        open_zmq_transport(make_settings()) as two,
    ):
        one.connect('two', '127.0.0.1', two.port)
        two.connect('one', '127.0.0.1', one.port)
        assert await send_until_received(one, two, 'two', b'first') == b'first'
        assert (
            await send_until_received(two, one, 'one', b'second') == b'second'
        )
        for number in range(100):
            one.send('two', str(number).encode())
        received = [await two.receive() for _ in range(100)]
        while received[-1] != b'99':
            received.append(await two.receive())
        assert [message for message in received if message != b'first'] == [
            str(number).encode() for number in range(100)
        ]
        one.disconnect('two')
        unsent = one.unsent
        one.send('two', b'third')
        assert one.unsent == unsent + 1
        assert one.make_transport().count_dropped() == unsent + 1


CLOSED = {
    zmq.EVENT_DISCONNECTED,
    zmq.EVENT_HANDSHAKE_FAILED_AUTH,
    zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL,
}


async def wait_until_closed(monitor, scope):
    """Cancel the scope once the monitored connection is closed."""
    event = 0
    while event not in CLOSED:
        parts = await receive_parts(monitor)
        event = int.from_bytes(parts[0][:2], 'little')
    scope.cancel()


@contextmanager
def open_client(keys, port):
    """Connect a plain client socket to a transport."""
    context = zmq.Context()
    try:
        client = context.socket(zmq.DEALER)
        if keys is not None:
            client.curve_publickey, client.curve_secretkey = keys
            client.curve_serverkey = SHARED[0]
        monitor = client.get_monitor_socket()
        client.connect(f'tcp://127.0.0.1:{port}')
        yield client, monitor
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
async def test_unauthorized_clients_are_disconnected(keys, size):
    """Nothing is received from the client; a peer can still connect."""
    async with (
        open_zmq_transport(make_settings()) as one,
        open_zmq_transport(make_settings()) as two,
    ):
        one.connect('two', '127.0.0.1', two.port)
        received = []
        with open_client(keys, two.port) as (client, monitor):
            client.send(b'x' * size)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    wait_until_closed, monitor, nursery.cancel_scope
                )
                received.append(await two.receive())
                nursery.cancel_scope.cancel()
        assert received == []
        assert await send_until_received(one, two, 'two', b'peer') == b'peer'


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
def test_verdict_on_a_client(request_parts, verdict):
    assert check_client(request_parts, public_key=KEY) == verdict
