"""Listener that callers connect to."""

import attrs
import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.call import HandleRequest
from ebonystream.caller._connection import serve_connection
from ebonystream.ingress import (
    ConnectionLimits,
    OpenConnections,
    bound_unread_bytes,
)


@attrs.define(kw_only=True)
class CallerListener:
    """Accepts the connections of callers and serves their calls.

    Attributes:
        handle_request: Handles a request.
        limits: Size limits and timeouts of a connection.
        drain_grace: How long connections are still accepted and kept open
            after the start of shutdown, so that requests in flight are still
            served; in seconds.
        timers: Clock of this process.
        connections: Open connections of this listener.
    """

    handle_request: HandleRequest
    limits: ConnectionLimits
    connections: OpenConnections
    drain_grace: Seconds
    timers: Timers

    async def run(
        self,
        listeners: list[trio.SocketListener],
        stopping: trio.Event,
    ) -> None:
        """Serve callers until shutdown, then finish their open requests.

        Args:
            listeners: The listening sockets.
            stopping: Set at the start of shutdown.
        """
        async with trio.open_nursery() as connection_nursery:
            async with trio.open_nursery() as accept_nursery:
                accept_nursery.start_soon(
                    self._accept, listeners, connection_nursery
                )
                accept_nursery.start_soon(
                    bound_unread_bytes, self.connections, self.timers
                )
                await stopping.wait()
                self.connections.close_after_response = True
                await self.timers.wait(self.drain_grace)
                accept_nursery.cancel_scope.cancel()
            self.connections.close_idle()

    async def _accept(
        self,
        listeners: list[trio.SocketListener],
        connection_nursery: trio.Nursery,
    ) -> None:
        await trio.serve_listeners(
            self._serve_connection,
            listeners,
            handler_nursery=connection_nursery,
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        await serve_connection(
            stream,
            handle_request=self.handle_request,
            limits=self.limits,
            timers=self.timers,
            connections=self.connections,
        )
