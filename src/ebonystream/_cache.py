"""Cache the results of an expensive function for a short time."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers

Key = TypeVar('Key', bound=Hashable)
Value = TypeVar('Value')


@attrs.define(kw_only=True)
class ExpiringCache(Generic[Key, Value]):
    """A cache of computed values with a maximum age.

    All entries expire together, so that the size is bounded by the number of
    keys requested within that age.

    Attributes:
        compute: Computes the value of a key.
        max_age: Maximum age of a value, in seconds.
        timers: Clock that the age is measured with.
    """

    compute: Callable[[Key], Value]
    max_age: Seconds
    timers: Timers
    _cached: dict[Key, Value] = attrs.field(factory=dict)
    _started: Monotonic = Monotonic(0)

    def get(self, key: Key) -> Value:
        """Return the value of a key, computed again if it has expired."""
        now = self.timers.now()
        if now - self._started >= self.max_age:
            self._cached.clear()
            self._started = now
        if key not in self._cached:
            self._cached[key] = self.compute(key)
        return self._cached[key]
