"""A model of backend servers with slots, a short queue and a pace."""

import attrs
import numpy as np
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Seconds, ServerId, VersionName, ZoneName
from ebonystream.roster import EntryState, LoadReport, ServerEntry
from experiment.loads import SERVICE

QUEUE_CAPACITY = 2
BUSY_SLOWDOWN = 1.55
"""Factor on the processing time if most other slots are busy at the start."""

BUSY_SHARE = 0.8
"""Share of busy slots from which a server slows down."""

PROCESSING_TIME_LOG_SD = 0.35
"""Standard deviation of the logarithm of the processing time."""

FIRST_PORT = 8000


@attrs.define(eq=False)
class ModelServer:
    """A simulated backend server.

    Attributes:
        entry: Its entry in the store.
        slots: Number of requests that it handles concurrently.
        pace: Current processing time relative to the usual one.
        refuses: Whether it rejects all requests.
        running: Number of requests being processed.
        arrivals: Number of requests received.
        turned_away: Number of requests rejected because the queue was full.
    """

    entry: ServerEntry
    slots: int = 2
    pace: float = 1
    refuses: bool = False
    running: int = 0
    arrivals: int = 0
    turned_away: int = 0
    _queue: list[trio.Event] = attrs.field(factory=list)

    def report_load(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            running=self.running,
            waiting=len(self._queue),
            slots=self.slots,
            pace=self.pace,
        )

    async def run(self, processing_time: Seconds) -> bool:
        """Process a request.

        Args:
            processing_time: Time that it takes on an idle server, in seconds.

        Returns:
            False if the request was rejected.
        """
        self.arrivals += 1
        is_full = (
            self.running >= self.slots and len(self._queue) >= QUEUE_CAPACITY
        )
        if is_full or self.refuses:
            self.turned_away += 1
            return False
        await self._acquire_slot()
        is_busy = self.running >= BUSY_SHARE * self.slots
        slowdown = BUSY_SLOWDOWN if is_busy else 1
        try:
            await trio.sleep(processing_time * self.pace * slowdown)
        finally:
            self._release_slot()
        return True

    async def _acquire_slot(self) -> None:
        if self.running < self.slots:
            self.running += 1
            return
        slot_acquired = trio.Event()
        self._queue.append(slot_acquired)
        try:
            await slot_acquired.wait()
        except trio.Cancelled:
            self._cancel_wait(slot_acquired)
            raise

    def _cancel_wait(self, slot_acquired: trio.Event) -> None:
        if slot_acquired in self._queue:
            self._queue.remove(slot_acquired)
        else:
            self._release_slot()

    def _release_slot(self) -> None:
        """Release a slot to the next queued request, if any."""
        if self._queue:
            self._queue.pop(0).set()
        else:
            self.running -= 1


def make_servers(
    count: int, zones: tuple[str, ...], *, slots: int = 2
) -> list[ModelServer]:
    """Create servers, spread evenly over zones.

    Args:
        count: Number of servers.
        zones: Names of the zones.
        slots: Number of requests that each handles concurrently.
    """
    return [
        ModelServer(
            ServerEntry(
                id=ServerId(f's-{number}'),
                at=ServerAddress('10.0.0.1', FIRST_PORT + number),
                service=SERVICE,
                zone=ZoneName(zones[number % len(zones)]),
                version=VersionName('v1'),
                slots=slots,
                state=EntryState.SERVING,
                cold=Seconds(0),
                started=None,
            ),
            slots=slots,
        )
        for number in range(count)
    ]


def draw_processing_time(
    mean: Seconds, generator: np.random.Generator
) -> Seconds:
    """Draw a request's processing time on an idle server, in seconds.

    Args:
        mean: Mean processing time, in seconds.
        generator: Random number generator.
    """
    log_mean = -(PROCESSING_TIME_LOG_SD**2) / 2
    return Seconds(mean * generator.lognormal(log_mean, PROCESSING_TIME_LOG_SD))
