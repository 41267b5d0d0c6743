"""A proxy between one host and the store, which can lose their traffic."""

import enum
from contextlib import suppress
from functools import partial

import attrs
import trio


class ProxyMode(enum.Enum):
    """What the proxy does with the traffic of its host.

    A connection whose traffic was lost once stays open and forwards nothing
    in that direction any more.
    """

    PASS = 'passed'
    REFUSE = 'refused'
    """No listener; open connections are closed."""

    SILENT = 'silent'
    ONE_WAY = 'one-way'
    """Requests are forwarded, responses are lost."""


LOSES_REQUESTS = frozenset((ProxyMode.SILENT,))
LOSES_RESPONSES = frozenset((ProxyMode.SILENT, ProxyMode.ONE_WAY))


@attrs.define(kw_only=True)
class StoreProxy:
    """The proxy of one host.

    Attributes:
        address: Address on which it listens.
        port: Port on which it listens, and that of the store.
        store_address: Address of the store.
        mode: What it does with the traffic.
        mode_changed: Set and replaced when the mode changes.
    """

    address: str
    port: int
    store_address: str
    mode: ProxyMode = ProxyMode.PASS
    mode_changed: trio.Event = attrs.field(factory=trio.Event)

    def switch(self, mode: ProxyMode) -> None:
        """Change the mode.

        Args:
            mode: The new mode.
        """
        self.mode = mode
        self.mode_changed.set()
        self.mode_changed = trio.Event()

    async def run(self) -> None:
        """Listen while the mode is another than `REFUSE`; never return."""
        while True:
            if self.mode is not ProxyMode.REFUSE:
                await self._listen()
            await self._wait_while(is_refused=True)

    async def _listen(self) -> None:
        """Listen until the mode is `REFUSE`; then close all connections."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(trio.serve_tcp, host=self.address),
                self._serve,
                self.port,
            )
            await self._wait_while(is_refused=False)
            nursery.cancel_scope.cancel()

    async def _wait_while(self, *, is_refused: bool) -> None:
        while (self.mode is ProxyMode.REFUSE) is is_refused:
            await self.mode_changed.wait()

    async def _serve(self, host: trio.SocketStream) -> None:
        try:
            store = await trio.open_tcp_stream(self.store_address, self.port)
        except OSError:
            return
        async with store, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(
                self._forward, host, store, LOSES_REQUESTS, scope
            )
            nursery.start_soon(
                self._forward, store, host, LOSES_RESPONSES, scope
            )

    async def _forward(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        losing_modes: frozenset[ProxyMode],
        scope: trio.CancelScope,
    ) -> None:
        """Forward one direction; its end cancels the connection."""
        is_lost = False
        # Either side may close the connection at any time.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                is_lost = is_lost or self.mode in losing_modes
                if not is_lost:
                    await target.send_all(data)
        scope.cancel()
