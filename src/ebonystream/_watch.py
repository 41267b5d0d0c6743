"""Waiting for a state to change, without polling."""

import attrs
import trio


@attrs.define
class Watch:
    """Wakes everyone who waits, each time something changes."""

    _next: trio.Event = attrs.field(factory=trio.Event)

    def notify(self) -> None:
        """Wake everyone who waits now."""
        self._next.set()
        self._next = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._next.wait()
