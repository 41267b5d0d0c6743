"""Crowds of clients that send large or endless requests and keep them open."""

import math
from contextlib import suppress
from pathlib import Path
from random import Random

import attrs
import trio

MIB = 1_048_576
PIECE = bytes(65_536)
HEAD = b'POST %b HTTP/1.1\r\nHost: shop.example\r\n'
ANNOUNCED = b'Content-Length: %d\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
SEND_LIMIT_S = 12
SAMPLE_S = 0.01


@attrs.frozen(kw_only=True)
class Crowd:
    """Clients that send the same and keep their connections open.

    Attributes:
        connections: Number of connections.
        end_of_head: The last header field, which says how the body is framed.
        parts: What each sends after its head, without the end of the body.
        pause_s: Pause after each part, in seconds.
    """

    connections: int
    end_of_head: bytes
    parts: list[bytes]
    pause_s: float = 0


def make_chunks(size, *, sizes, seed=0):
    """Make the chunks of a body, in parts of 64 KiB on the wire."""
    random = Random(seed)
    encoded = bytearray()
    while size > 0:
        length = min(size, random.choice(sizes))
        encoded += b'%x\r\n%b\r\n' % (length, b'x' * length)
        size -= length
    starts = range(0, len(encoded), len(PIECE))
    return [bytes(encoded[at : at + len(PIECE)]) for at in starts]


def make_crowds(body_bytes, *, connections=40):
    """Make the crowds, given the largest body that is allowed."""
    almost = [PIECE] * (body_bytes // len(PIECE) - 1) + [PIECE[:-1]]
    announced = ANNOUNCED % body_bytes
    crowds = {
        'whole': Crowd(
            connections=connections,
            end_of_head=announced,
            parts=[b''.join(almost)],
        ),
        'pieces': Crowd(
            connections=connections,
            end_of_head=announced,
            parts=almost,
            pause_s=0.005,
        ),
        'large chunks': Crowd(
            connections=connections,
            end_of_head=CHUNKED,
            parts=make_chunks(body_bytes - 1, sizes=[MIB]),
        ),
        'small chunks': Crowd(
            connections=connections,
            end_of_head=CHUNKED,
            parts=make_chunks(600 * 1024, sizes=range(1, 9)),
        ),
        'announced over the limit': Crowd(
            connections=connections, end_of_head=ANNOUNCED % 2**40, parts=almost
        ),
        'sent over the limit': Crowd(
            connections=connections,
            end_of_head=CHUNKED,
            parts=make_chunks(8 * body_bytes, sizes=[MIB]),
        ),
    }
    crowds['many connections'] = Crowd(
        connections=120, end_of_head=announced, parts=[PIECE[:100]]
    )
    return crowds


async def _send(crowd, address, port, target, sent):
    """Send as one client; keep the connection until cancelled."""
    try:
        stream = await trio.open_tcp_stream(address, port)
    except OSError:
        sent()
        return
    async with stream:
        with (
            suppress(trio.BrokenResourceError, trio.ClosedResourceError),
            trio.move_on_after(SEND_LIMIT_S),
        ):
            await stream.send_all(HEAD % target.encode() + crowd.end_of_head)
            for part in crowd.parts:
                await stream.send_all(part)
                await trio.sleep(crowd.pause_s)
        sent()
        await trio.sleep_forever()


async def send_crowd(nursery, crowd, address, port, target):
    """Start a crowd in a nursery; return once all have sent what they can."""
    waiting = crowd.connections
    all_sent = trio.Event()

    def sent():
        nonlocal waiting
        waiting -= 1
        if not waiting:
            all_sent.set()

    for _ in range(crowd.connections):
        nursery.start_soon(_send, crowd, address, port, target, sent)
    await all_sent.wait()


async def send_one(address, port, kind):
    """Send one request of 64 MiB and return its status."""
    size = 64 * MIB
    head = HEAD % b'/uploads/1' + b'Ebonystream-Attempt-Id: large\r\n'
    framing, parts, end = {
        'whole': (ANNOUNCED % size, [PIECE] * (size // len(PIECE)), b''),
        'large chunks': (
            CHUNKED,
            make_chunks(size, sizes=[MIB]),
            b'0\r\n\r\n',
        ),
    }[kind]
    async with await trio.open_tcp_stream(address, port) as stream:
        await stream.send_all(head + framing)
        for part in parts:
            await stream.send_all(part)
        await stream.send_all(end)
        with trio.fail_after(SEND_LIMIT_S):
            return (await stream.receive_some()).split(b' ')[1]


@attrs.define
class Usage:
    """The most memory and descriptors that a process was seen to hold."""

    pid: int
    memory_mb: float = 0
    descriptors: int = 0

    async def watch(self):
        """Sample a process until cancelled or until it has ended."""
        with suppress(OSError):
            while True:
                self.sample()
                await trio.sleep(SAMPLE_S)

    def sample(self):
        """Read the peak of the resident memory, and the open descriptors."""
        process = Path('/proc') / str(self.pid)
        for line in (process / 'status').read_text().splitlines():
            if line.startswith('VmHWM'):
                kib = int(line.split()[1])
                self.memory_mb = max(self.memory_mb, kib / 1024)
        count = sum(1 for _ in (process / 'fd').iterdir())
        self.descriptors = max(self.descriptors, count)

    def describe(self):
        """Describe the most that was seen."""
        return f'{math.ceil(self.memory_mb)} MB, {self.descriptors} descriptors'
