"""Pool of idle connections, bounded for each server."""

from collections import deque

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers


@attrs.frozen
class PoolLimits:
    """Limits of a connection pool.

    Attributes:
        max_idle: Maximum number of idle connections for each server.
        idle_timeout: How long an idle connection is kept, in seconds.
        connect_timeout: Upper bound on opening a connection, in seconds.
    """

    max_idle: int
    idle_timeout: Seconds
    connect_timeout: Seconds


@attrs.frozen
class _IdleConnection:
    stream: trio.SocketStream
    expires_at: Monotonic


@attrs.define
class ConnectionPool:
    """Idle connections of this process, by server address.

    Attributes:
        limits: Bounds on the number and the age of idle connections.
        timers: Clock that the expiry of idle connections is read from.
        opened_count: Number of connections opened so far; a server spends
            time on each.
    """

    limits: PoolLimits
    timers: Timers
    opened_count: int = 0
    _idle: dict[ServerAddress, deque[_IdleConnection]] = attrs.field(
        factory=dict
    )

    async def acquire(self, at: ServerAddress) -> trio.SocketStream | None:
        """Return an idle connection, or open one.

        Args:
            at: Address at which the server listens.

        Returns:
            The connection, or None if none could be opened in time.
        """
        pooled = self._idle.get(at)
        while pooled:
            connection = pooled.pop()
            if self._is_usable(connection):
                return connection.stream
            await trio.aclose_forcefully(connection.stream)
        return await self._open(at)

    async def release(
        self,
        at: ServerAddress,
        stream: trio.SocketStream,
        *,
        idle_timeout: Seconds | None = None,
    ) -> None:
        """Keep a connection for reuse, or close it if the pool is full.

        Args:
            at: Address at which the server listens.
            stream: Connection without an outstanding request.
            idle_timeout: How long the server lets the connection stay idle, in
                seconds, or None if it states no limit. The pool's own limit
                applies too.
        """
        pooled = self._idle.setdefault(at, deque())
        timeout = (
            self.limits.idle_timeout if idle_timeout is None else idle_timeout
        )
        expires_at = self.timers.now() + min(timeout, self.limits.idle_timeout)
        if len(pooled) < self.limits.max_idle:
            pooled.append(_IdleConnection(stream, Monotonic(expires_at)))
            return
        await trio.aclose_forcefully(stream)

    async def close_expired(self) -> None:
        """Close the connections whose idle time has run out."""
        for at, pooled in list(self._idle.items()):
            while pooled and not self._is_unexpired(pooled[0]):
                await trio.aclose_forcefully(pooled.popleft().stream)
            if not pooled:
                self._idle.pop(at, None)

    def _is_unexpired(self, connection: _IdleConnection) -> bool:
        return self.timers.now() < connection.expires_at

    def _is_usable(self, connection: _IdleConnection) -> bool:
        # An idle connection that is readable has been closed by the server.
        return (
            self._is_unexpired(connection)
            and not connection.stream.socket.is_readable()
        )

    async def _open(self, at: ServerAddress) -> trio.SocketStream | None:
        stream = None
        with trio.move_on_after(self.limits.connect_timeout):
            try:
                stream = await trio.open_tcp_stream(at.address, at.port)
            except OSError:
                return None
        if stream is not None:
            self.opened_count += 1
        return stream
