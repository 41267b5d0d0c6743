"""The waiting line of each service: the most urgent request goes first."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import ProbeResult

NEVER = Monotonic(float('-inf'))


@attrs.define(eq=False)
class Waiter:
    """One request's place in a line.

    Attributes:
        request: What the request needs.
        expected_late: Whether it will be late wherever it goes.
        freed: A server that has come free for it; None so far.
    """

    request: PlacementRequest
    expected_late: bool
    freed: ProbeResult | None = None
    _told: trio.Event = attrs.field(factory=trio.Event)

    def notify(self, freed: ProbeResult) -> None:
        """Tell of a server that has come free.

        Args:
            freed: The server, and its load.
        """
        self.freed = freed
        self._told.set()

    async def wait(self) -> ProbeResult | None:
        """Wait until a server comes free; the place can then be told anew."""
        await self._told.wait()
        freed = self.freed
        self.freed = None
        self._told = trio.Event()
        return freed


@attrs.define
class WaitQueues:
    """The requests of this host that wait for room, by service."""

    _lines: dict[ServiceName, list[Waiter]] = attrs.field(factory=dict)
    _asked: dict[ServiceName, Monotonic] = attrs.field(factory=dict)

    def is_empty(self, service: ServiceName) -> bool:
        """Tell whether nothing waits for a service.

        Args:
            service: The service.
        """
        return not self._lines.get(service)

    def has_request_on_time(self, service: ServiceName) -> bool:
        """Tell whether a request waits that may still be on time.

        Args:
            service: Its service.
        """
        line = self._lines.get(service, [])
        return not all(place.expected_late for place in line)

    def count(self) -> int:
        """Count the requests that wait, for all services."""
        return sum(len(line) for line in self._lines.values())

    @contextmanager
    def join(
        self, request: PlacementRequest, *, expected_late: bool = False
    ) -> Iterator[Waiter]:
        """Wait in the line of a service.

        Args:
            request: What the request needs.
            expected_late: Whether it will be late wherever it goes; it then stands
                behind those that may still be on time.
        """
        line = self._lines.setdefault(request.service, [])
        place = Waiter(request, expected_late)
        line.append(place)
        line.sort(key=_get_urgency)
        try:
            yield place
        finally:
            line.remove(place)

    def claim_probe_turn(
        self, place: Waiter, now: Monotonic, *, period: Seconds
    ) -> bool:
        """Tell whether a request should have servers asked now.

        Only the most urgent one has, and only once in a period.

        Args:
            place: Its place.
            now: The time.
            period: The length of that period, in seconds.
        """
        service = place.request.service
        if self._lines[service][0] is not place:
            return False
        if now - self._asked.get(service, NEVER) < period:
            return False
        self._asked[service] = now
        return True

    def offer_server(
        self, freed: ProbeResult, *, behind: Waiter | None = None
    ) -> None:
        """Tell the most urgent request of a server that has come free.

        Args:
            freed: The server, and its load.
            behind: Who could not use it; only those behind it in the line
                are told, so that an offer ends at the end of the line.
        """
        server = freed.server.entry
        line = self._lines.get(server.service, [])
        start = line.index(behind) + 1 if behind in line else 0
        for place in line[start:]:
            if (
                place.freed is None
                and server.id not in place.request.excluded_servers
            ):
                place.notify(freed)
                return


def _get_urgency(place: Waiter) -> tuple[bool, int, float]:
    wanted = place.request
    return place.expected_late, wanted.route.rank, wanted.get_target_time()
