"""Kept connections to backend servers, bounded for each server."""

from collections import deque

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers


@attrs.frozen
class PoolLimits:
    """How many connections are kept, and how long.

    Attributes:
        max_idle: Unused connections kept for one server.
        idle_timeout: How long an unused connection is kept, in seconds.
        connect_timeout: How long opening one may take, in seconds.
    """

    max_idle: int
    idle_timeout: Seconds
    connect_timeout: Seconds


@attrs.frozen
class _Kept:
    stream: trio.SocketStream
    until: Monotonic


@attrs.define
class ConnectionPool:
    """The unused connections of this host.

    Attributes:
        limits: How many are kept, and how long.
        timers: Tells when an unused connection is too old.
        opened_count: Connections opened so far; each one costs a server time.
    """

    limits: PoolLimits
    timers: Timers
    opened_count: int = 0
    _kept: dict[ServerAddress, deque[_Kept]] = attrs.field(factory=dict)

    async def acquire(self, at: ServerAddress) -> trio.SocketStream | None:
        """Give a connection that is open, or None where none can be had.

        Args:
            at: Where the backend server listens.
        """
        kept = self._kept.get(at)
        while kept:
            one = kept.pop()
            if self._is_usable(one):
                return one.stream
            await trio.aclose_forcefully(one.stream)
        return await self._open(at)

    async def release(
        self,
        at: ServerAddress,
        stream: trio.SocketStream,
        *,
        idle_timeout: Seconds | None = None,
    ) -> None:
        """Keep a connection for the next call, or close it.

        Args:
            at: Where the backend server listens.
            stream: A connection on which nothing is outstanding.
            idle_timeout: How long the server keeps it open unused, in seconds, where
                it says so and that is shorter than the pool's own limit.
        """
        kept = self._kept.setdefault(at, deque())
        length = (
            self.limits.idle_timeout if idle_timeout is None else idle_timeout
        )
        until = self.timers.now() + min(length, self.limits.idle_timeout)
        if len(kept) < self.limits.max_idle:
            kept.append(_Kept(stream, Monotonic(until)))
            return
        await trio.aclose_forcefully(stream)

    async def close_expired(self) -> None:
        """Close what was unused for longer than the limit."""
        for at, kept in list(self._kept.items()):
            while kept and not self._is_fresh(kept[0]):
                await trio.aclose_forcefully(kept.popleft().stream)
            if not kept:
                self._kept.pop(at, None)

    def _is_fresh(self, kept: _Kept) -> bool:
        return self.timers.now() < kept.until

    def _is_usable(self, kept: _Kept) -> bool:
        # A readable unused connection is one that the server has closed.
        return self._is_fresh(kept) and not kept.stream.socket.is_readable()

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
