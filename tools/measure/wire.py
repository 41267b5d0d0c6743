"""Connections between entry hosts and servers, and their costs."""

from collections.abc import Callable

import attrs

from measure.loop import Loop
from measure.world import (
    CONNECT_SECONDS,
    DEADLINE_SECONDS,
    ZONES,
    Arrival,
    Job,
    Server,
    get_one_way_delay,
)

RecordOutcome = Callable[[Arrival, str], None]
"""Records the end of a call: `ran`, `late` or the kind of an error."""

CloseConnection = Callable[[], None]
"""Closes the connection of a call in progress."""

SubmitCall = Callable[[Arrival], None]
"""Submits a call to its entry host."""


@attrs.define
class Network:
    """Sends calls to servers; opening a connection costs a server time.

    Attributes:
        loop: The event loop.
        opened_connections: Number of connections opened.
    """

    loop: Loop
    opened_connections: int = 0
    _idle_connections: dict[tuple[int, str], int] = attrs.field(factory=dict)

    def send(
        self,
        arrival: Arrival,
        server: Server,
        on_end: Callable[[bool], None],
    ) -> CloseConnection:
        """Send a call to a server.

        Args:
            arrival: The call.
            server: The server.
            on_end: Called at the host with whether the response is complete.

        Returns:
            A function that closes the connection, which cancels the call at
            its server.
        """
        endpoints = (arrival.host_number, server.id)
        processing_time = arrival.processing_time
        idle_connections = self._idle_connections.get(endpoints, 0)
        if idle_connections:
            self._idle_connections[endpoints] = idle_connections - 1
        else:
            self.opened_connections += 1
            processing_time += CONNECT_SECONDS
        delay = get_one_way_delay(ZONES[arrival.host_number % 3], server.zone)
        server.in_flight += 1
        server.max_in_flight = max(server.max_in_flight, server.in_flight)

        def handle_end(is_complete: bool) -> None:
            server.in_flight -= 1
            self._idle_connections[endpoints] = (
                self._idle_connections.get(endpoints, 0) + 1
            )
            self.loop.call_after(delay, lambda: on_end(is_complete))

        job = Job(
            arrival,
            arrival.sent_at + DEADLINE_SECONDS,
            handle_end,
            processing_time,
        )
        self.loop.call_after(delay, lambda: server.enqueue(job))
        return lambda: self.loop.call_after(delay, lambda: server.cancel(job))
