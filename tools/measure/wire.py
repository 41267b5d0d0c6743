"""How calls reach servers, over connections that cost the servers time."""

from collections.abc import Callable

import attrs

from measure.loop import Loop
from measure.world import (
    CONNECT_COST,
    DEADLINE,
    ZONES,
    Arrival,
    Job,
    Server,
    hop,
)

Finish = Callable[[Arrival, str], None]
"""Notes the end of a call: `ran`, `late` or the kind of a refusal."""

Stop = Callable[[], None]
"""Closes the connection of a call under way."""

Submit = Callable[[Arrival], None]
"""Brings a call to its entry host."""


@attrs.define
class Wire:
    """Sends calls to servers, over connections that cost them time.

    Attributes:
        loop: Runs what takes time.
        opened: Connections opened.
    """

    loop: Loop
    opened: int = 0
    _idle: dict[tuple[int, str], int] = attrs.field(factory=dict)

    def send(
        self,
        arrival: Arrival,
        server: Server,
        ended: Callable[[bool], None],
    ) -> Stop:
        """Send a call and tell its host whether its answer is whole.

        Returns:
            Closes the connection, which stops the call at its server.
        """
        pair = (arrival.host, server.id)
        work = arrival.work
        idle = self._idle.get(pair, 0)
        if idle:
            self._idle[pair] = idle - 1
        else:
            self.opened += 1
            work += CONNECT_COST
        way = hop(ZONES[arrival.host % 3], server.zone)
        server.on_way += 1
        server.most_on_way = max(server.most_on_way, server.on_way)

        def done(whole: bool) -> None:
            server.on_way -= 1
            self._idle[pair] = self._idle.get(pair, 0) + 1
            self.loop.call_after(way, lambda: ended(whole))

        job = Job(arrival, arrival.at + DEADLINE, done, work)
        self.loop.call_after(way, lambda: server.take(job))
        return lambda: self.loop.call_after(way, lambda: server.drop(job))
