"""A small stand-in for a backend server of the users' platform.

It has slots and a short queue, tells its load and pace on each answer, says
truly where it did not run a request, and counts what it ran.
"""

from collections import Counter

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse
from standins.messages import serve_messages

OK, FAILED, FULL, MISDIRECTED = 200, 500, 503, 421
HEALTH = b'/health'
PERCENT = 100


@attrs.define(kw_only=True)
class PacedServer:
    """One backend server.

    Attributes:
        name: Its name.
        slots: Requests that it works on at a time.
        queue: Requests that may wait.
        work: How long a request takes at the usual pace, in seconds.
        pace: How long work takes now, beside the usual.
        failing: Whether it fails each request.
        healthy: What it says of its health.
        running: Requests that it works on.
        waiting: Requests that wait.
        ran: How often it ran each request, by the name of the attempt.
        probes: How often it was asked for its health.
    """

    name: str
    slots: int = 2
    queue: int = 4
    work: float = 0.02
    pace: float = 1
    failing: bool = False
    healthy: bool = True
    running: int = 0
    waiting: int = 0
    ran: Counter[str] = attrs.field(factory=Counter)
    probes: int = 0
    _free: trio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make its slots."""
        self._free = trio.Semaphore(self.slots)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection.

        Args:
            stream: The connection.
        """
        await serve_messages(stream, self.respond)

    async def respond(
        self, message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        """Answer one request.

        Args:
            message: The request.
            arrived: When it came.
            presence: Who sent it.
        """
        if message.target == HEALTH:
            self.probes += 1
            return self._spell(OK if self.healthy else FULL, message)
        headers = dict(message.headers)
        expected = headers.get(b'ebonystream-expected-instance', b'')
        if expected.decode() != self.name:
            return self._spell(MISDIRECTED, message)
        if self.running >= self.slots and self.waiting >= self.queue:
            refused = (b'ebonystream-not-executed', b'1')
            return self._spell(FULL, message, refused)
        await self._run(headers[b'ebonystream-attempt-id'].decode())
        sealed = (b'ebonystream-response-seal', b's')
        status = FAILED if self.failing else OK
        return self._spell(status, message, sealed)

    async def _run(self, attempt: str) -> None:
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            self.ran[attempt] += 1
            try:
                await trio.sleep(self.work * self.pace)
            finally:
                self.running -= 1

    def _spell(
        self, status: int, message: Message, *more: tuple[bytes, bytes]
    ) -> EncodedResponse:
        load = (self.running, self.waiting, self.slots, self.pace * PERCENT)
        figures = b','.join(b'%d' % figure for figure in load)
        attempt = dict(message.headers).get(b'ebonystream-attempt-id')
        headers = [
            (b'ebonystream-instance-id', self.name.encode()),
            (b'ebonystream-server-load', figures),
            *more,
        ]
        if attempt is not None:
            headers.append((b'ebonystream-attempt-id', attempt))
        body = self.name.encode()
        return EncodedResponse(
            encode_response(status, headers, body), close=False
        )
