"""Where callers connect."""

import attrs
import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.call import Serve
from ebonystream.caller._connection import serve_connection
from ebonystream.ingress import ConnectionLimits, OpenConnections


@attrs.define(kw_only=True)
class CallerListener:
    """The listening socket for callers and its connections.

    Attributes:
        serve: Answers a request.
        limits: What callers may send.
        drain_grace: How long connections stay open after a stop is asked
            for, so that a request on its way is still answered; in seconds.
        timers: Tells the time.
        connections: The open ones; tells when this host leaves.
    """

    serve: Serve
    limits: ConnectionLimits
    connections: OpenConnections
    drain_grace: Seconds
    timers: Timers

    async def run(
        self,
        listeners: list[trio.SocketListener],
        stopping: trio.Event,
    ) -> None:
        """Serve callers until a stop is asked for and each has its answer.

        Args:
            listeners: The listening sockets.
            stopping: Set when a stop is asked for.
        """
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self._accept, listeners, connections)
                await stopping.wait()
                self.connections.close_after_response = True
                await self.timers.wait(self.drain_grace)
                accepting.cancel_scope.cancel()
            self.connections.close_idle()

    async def _accept(
        self,
        listeners: list[trio.SocketListener],
        connections: trio.Nursery,
    ) -> None:
        await trio.serve_listeners(
            self._serve_one, listeners, handler_nursery=connections
        )

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        await serve_connection(
            stream,
            serve=self.serve,
            limits=self.limits,
            timers=self.timers,
            connections=self.connections,
        )
