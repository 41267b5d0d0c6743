"""Wait queue of each service, ordered by urgency and by turns."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import ProbeResult
from ebonystream.placement._turns import Turns, Urgency

NEVER = Monotonic(float('-inf'))


@attrs.define(eq=False)
class Waiter:
    """A request in a wait queue.

    Attributes:
        request: The queued request.
        expected_late: Whether the request will be late on any server.
        freed: Freed server offered to the request; None if there is none.
    """

    request: PlacementRequest
    expected_late: bool
    freed: ProbeResult | None = None
    _notified: trio.Event = attrs.field(factory=trio.Event)

    def notify(self, freed: ProbeResult) -> None:
        """Offer a freed server to the request and wake its task.

        Args:
            freed: The freed server with its load.
        """
        self.freed = freed
        self._notified.set()

    async def wait(self) -> ProbeResult | None:
        """Wait for a freed server, then reset to wait for the next one."""
        await self._notified.wait()
        freed = self.freed
        self.freed = None
        self._notified = trio.Event()
        return freed


@attrs.define
class WaitQueues:
    """Requests of this host that wait for capacity, by service."""

    _queues: dict[ServiceName, list[Waiter]] = attrs.field(factory=dict)
    _turns: dict[ServiceName, Turns] = attrs.field(factory=dict)
    _last_probes: dict[ServiceName, Monotonic] = attrs.field(factory=dict)

    def is_empty(self, service: ServiceName) -> bool:
        """Return whether no request waits for a service.

        Args:
            service: Name of the service.
        """
        return not self._queues.get(service)

    def count_as_urgent(self, service: ServiceName, rank: int) -> int:
        """Count the waiting requests that are at least as urgent as a rank.

        Args:
            service: Name of the service.
            rank: The rank.
        """
        queue = self._queues.get(service, [])
        return sum(waiter.request.get_rank() <= rank for waiter in queue)

    def has_request_on_time(self, service: ServiceName, rank: int) -> bool:
        """Return whether a request that waits can still be on time.

        Args:
            service: Name of the service.
            rank: Rank of a request; less urgent ones do not count.
        """
        return any(
            not waiter.expected_late and waiter.request.get_rank() <= rank
            for waiter in self._queues.get(service, [])
        )

    def count(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    @contextmanager
    def join(
        self, request: PlacementRequest, *, expected_late: bool = False
    ) -> Iterator[Waiter]:
        """Keep a request in the queue of its service within the context.

        Args:
            request: Request to queue.
            expected_late: Whether the request will be late on any server; it is
                then queued behind those that can still be on time.
        """
        queue = self._queues.setdefault(request.service, [])
        waiter = Waiter(request, expected_late)
        queue.append(waiter)
        self._sort(request.service)
        try:
            yield waiter
        finally:
            self._queues[request.service].remove(waiter)
            self._sort(request.service)

    def record_served(self, waiter: Waiter) -> None:
        """Record that a server was found for a queued request.

        Args:
            waiter: The queued request.
        """
        turns = self._turns.setdefault(waiter.request.service, Turns())
        turns.record_served(_get_urgency(waiter))

    def claim_probe_turn(
        self, waiter: Waiter, now: Monotonic, *, period: Seconds
    ) -> bool:
        """Claim the next turn to probe and return whether it was granted.

        Only the most urgent request of a service gets a turn, and only one in
        each period.

        Args:
            waiter: The queued request.
            now: The current time.
            period: Minimum interval between probes of a service, in seconds.
        """
        service = waiter.request.service
        if self._queues[service][0] is not waiter:
            return False
        if now - self._last_probes.get(service, NEVER) < period:
            return False
        self._last_probes[service] = now
        return True

    def offer_server(
        self, freed: ProbeResult, *, behind: Waiter | None = None
    ) -> None:
        """Offer a freed server to the most urgent request that can use it.

        Args:
            freed: The freed server with its load.
            behind: Request that could not use the server; only those behind
                it in the queue get the offer, so that each offer ends at the
                end of the queue.
        """
        server_entry = freed.server.entry
        queue = self._queues.get(server_entry.service, [])
        start = queue.index(behind) + 1 if behind in queue else 0
        for waiter in queue[start:]:
            if (
                waiter.freed is None
                and server_entry.id not in waiter.request.excluded_servers
            ):
                waiter.notify(freed)
                return

    def _sort(self, service: ServiceName) -> None:
        queue = self._queues[service]
        if queue:
            turns = self._turns.setdefault(service, Turns())
            self._queues[service] = turns.sort(queue, _get_urgency)
        else:
            # Nobody waits that could claim a turn.
            self._turns.pop(service, None)


def _get_urgency(waiter: Waiter) -> Urgency:
    request = waiter.request
    return Urgency(
        is_late=waiter.expected_late,
        rank=request.get_rank(),
        target=request.get_target_time(),
        workspace=request.workspace,
    )
