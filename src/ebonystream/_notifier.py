"""Notify observers and waiting tasks of a change, without polling."""

from collections.abc import Callable

import attrs
import trio


@attrs.define
class ChangeNotifier:
    """Notifies subscribers and wakes all waiting tasks at each change."""

    _next: trio.Event = attrs.field(factory=trio.Event)
    _subscribers: list[Callable[[], None]] = attrs.field(factory=list)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback, called at each change before tasks wake."""
        self._subscribers.append(callback)

    def notify(self) -> None:
        """Call the subscribers, then wake the tasks that are waiting."""
        for callback in self._subscribers:
            callback()
        self._next.set()
        self._next = trio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._next.wait()
