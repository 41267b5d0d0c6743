"""A small stand-in for a backend server of the users' platform.

It has slots and a short queue, reports its load and pace with each response,
reports correctly whether it ran a request, and counts the requests that it ran.
"""

from collections import Counter

import attrs
import trio

from ebonystream._calls import Headers
from ebonystream._ids import Monotonic
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse
from standins.messages import serve_messages

OK, FAILED, UNAVAILABLE, MISDIRECTED = 200, 500, 503, 421
HEALTH_PATH = b'/health'
PERCENT = 100
MS_PER_SECOND = 1000


@attrs.frozen
class Arrival:
    """Arrival of a request at a server.

    Attributes:
        at: Time of the event loop's clock.
        is_cold: Whether the server was cold.
    """

    at: float
    is_cold: bool


@attrs.define(kw_only=True)
class PacedServer:
    """One backend server.

    Attributes:
        name: Name of the server.
        slots: Maximum number of requests that run at a time.
        queue: Maximum number of requests that wait.
        work_s: Duration of a request at the usual pace, in seconds.
        pace: Current duration of requests relative to the usual one (1.0).
        failing: Whether every request fails.
        healthy: Whether health probes succeed.
        running: Number of running requests.
        waiting: Number of waiting requests.
        run_counts: Number of runs by attempt id.
        probes: Number of health probes.
        cold_until: When it is no longer cold, by the clock of the event loop.
        arrivals: Arrivals of requests, but those for another server.
        received: Header fields of the latest request, by attempt id.
        broken_response: Sent instead of the response to each request that ran;
            None for none.
    """

    name: str
    slots: int = 2
    queue: int = 4
    work_s: float = 0.02
    pace: float = 1
    failing: bool = False
    healthy: bool = True
    running: int = 0
    waiting: int = 0
    run_counts: Counter[str] = attrs.field(factory=Counter)
    probes: int = 0
    cold_until: float = float('-inf')
    arrivals: list[Arrival] = attrs.field(factory=list)
    received: dict[str, Headers] = attrs.field(factory=dict)
    broken_response: EncodedResponse | None = None
    _free: trio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the semaphore of the slots."""
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
        """Respond to one request.

        Args:
            message: The request.
            arrived: Time of its arrival.
            presence: Presence of the caller.
        """
        if message.target == HEALTH_PATH:
            self.probes += 1
            return self._make_response(
                OK if self.healthy else UNAVAILABLE, message
            )
        headers = dict(message.headers)
        expected = headers.get(b'ebonystream-expected-instance', b'')
        if expected.decode() != self.name:
            return self._make_response(MISDIRECTED, message)
        now = trio.current_time()
        self.arrivals.append(Arrival(now, now < self.cold_until))
        if self.running >= self.slots and self.waiting >= self.queue:
            not_executed = (b'ebonystream-not-executed', b'1')
            return self._make_response(UNAVAILABLE, message, not_executed)
        attempt_id = headers[b'ebonystream-attempt-id'].decode()
        self.received[attempt_id] = message.headers
        await self._run(attempt_id)
        if self.broken_response is not None:
            return self.broken_response
        seal = (b'ebonystream-response-seal', b's')
        status = FAILED if self.failing else OK
        return self._make_response(status, message, seal)

    def get_cold_ms(self) -> int:
        """Return how long it stays cold, in milliseconds."""
        remaining = self.cold_until - trio.current_time()
        return int(max(0, remaining) * MS_PER_SECOND)

    async def _run(self, attempt_id: str) -> None:
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            self.run_counts[attempt_id] += 1
            try:
                await trio.sleep(self.work_s * self.pace)
            finally:
                self.running -= 1

    def _make_response(
        self, status: int, message: Message, *extra_headers: tuple[bytes, bytes]
    ) -> EncodedResponse:
        load = (self.running, self.waiting, self.slots, self.pace * PERCENT)
        encoded_load = b','.join(b'%d' % number for number in load)
        attempt_id = dict(message.headers).get(b'ebonystream-attempt-id')
        headers = [
            (b'ebonystream-instance-id', self.name.encode()),
            (b'ebonystream-server-load', encoded_load),
            (b'ebonystream-cold-ms', b'%d' % self.get_cold_ms()),
            *extra_headers,
        ]
        if attempt_id is not None:
            headers.append((b'ebonystream-attempt-id', attempt_id))
        body = self.name.encode()
        return EncodedResponse(
            encode_response(status, headers, body), close=False
        )
