"""Waiting for a state to change, without polling."""

from collections.abc import Callable

import attrs
import trio


@attrs.define
class ChangeNotifier:
    """Wakes everyone who waits, each time something changes."""

    _next: trio.Event = attrs.field(factory=trio.Event)
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a function called at each change, before anyone wakes."""
        self._subscribers.append(callback)

    def notify(self) -> None:
        """Tell the subscribers, then wake everyone who waits now."""
        for call in self._subscribers:
            call()
        self._next.set()
        self._next = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._next.wait()
