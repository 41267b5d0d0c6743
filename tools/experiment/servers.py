"""A model of backend servers: slots, a short queue, pace and slow probes."""

import attrs
import numpy as np
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Seconds, ServerId, VersionName, ZoneName
from ebonystream.roster import EntryState, LoadReport, ServerEntry
from experiment.loads import SERVICE

SLOTS = 2
QUEUE = 2
BUSY_SLOWDOWN = 1.55
"""How much longer work takes that begins while the other slot is busy."""

WORK_SPREAD = 0.35
"""The standard deviation of the logarithm of the work."""

FIRST_PORT = 8000


@attrs.define(eq=False)
class ModelServer:
    """One server.

    Attributes:
        entry: Its entry in the store.
        pace: How many times as long as usual its work takes.
        running: Requests that it works on.
        arrivals: Requests that came.
        turned_away: Requests that found no room in its queue.
    """

    entry: ServerEntry
    pace: float = 1
    running: int = 0
    arrivals: int = 0
    turned_away: int = 0
    _queue: list[trio.Event] = attrs.field(factory=list)

    def report(self) -> LoadReport:
        """Tell its load."""
        return LoadReport(
            running=self.running,
            waiting=len(self._queue),
            slots=SLOTS,
            pace=self.pace,
        )

    async def run(self, work: Seconds) -> bool:
        """Run a request; False where there is no room.

        Args:
            work: What it takes on an idle server, in seconds.
        """
        self.arrivals += 1
        if self.running >= SLOTS and len(self._queue) >= QUEUE:
            self.turned_away += 1
            return False
        await self._enter()
        slow = BUSY_SLOWDOWN if self.running > 1 else 1
        try:
            await trio.sleep(work * self.pace * slow)
        finally:
            self._leave()
        return True

    async def _enter(self) -> None:
        if self.running < SLOTS:
            self.running += 1
            return
        turn = trio.Event()
        self._queue.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            self._give_up(turn)
            raise

    def _give_up(self, turn: trio.Event) -> None:
        if turn in self._queue:
            self._queue.remove(turn)
        else:
            self._leave()

    def _leave(self) -> None:
        """Free a slot, or hand it to the next in the queue."""
        if self._queue:
            self._queue.pop(0).set()
        else:
            self.running -= 1


def make_servers(count: int, zones: tuple[str, ...]) -> list[ModelServer]:
    """Make servers, spread over zones.

    Args:
        count: How many.
        zones: The zones.
    """
    return [
        ModelServer(
            ServerEntry(
                id=ServerId(f's-{number}'),
                at=ServerAddress('10.0.0.1', FIRST_PORT + number),
                service=SERVICE,
                zone=ZoneName(zones[number % len(zones)]),
                version=VersionName('v1'),
                slots=SLOTS,
                state=EntryState.SERVING,
                cold=Seconds(0),
                started=None,
            )
        )
        for number in range(count)
    ]


def draw_work(mean: Seconds, generator: np.random.Generator) -> Seconds:
    """Draw what one request takes on an idle server, in seconds.

    Args:
        mean: The mean.
        generator: Draws it.
    """
    below = -(WORK_SPREAD**2) / 2
    return Seconds(mean * generator.lognormal(below, WORK_SPREAD))
