"""Remembers costly answers for a short time."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers

Key = TypeVar('Key', bound=Hashable)
Answer = TypeVar('Answer')


@attrs.define(kw_only=True)
class ExpiringCache(Generic[Key, Answer]):
    """Answers that are asked for again only after a length of time.

    All are forgotten together, so that what is remembered stays bounded by
    what is asked within that time.

    Attributes:
        compute: The costly question.
        max_age: How old an answer may be, in seconds.
        timers: Tells the time.
    """

    compute: Callable[[Key], Answer]
    max_age: Seconds
    timers: Timers
    _known: dict[Key, Answer] = attrs.field(factory=dict)
    _since: Monotonic = Monotonic(0)

    def get(self, key: Key) -> Answer:
        """Give the answer for a key, a remembered one if it is fresh."""
        now = self.timers.now()
        if now - self._since >= self.max_age:
            self._known.clear()
            self._since = now
        if key not in self._known:
            self._known[key] = self.compute(key)
        return self._known[key]
