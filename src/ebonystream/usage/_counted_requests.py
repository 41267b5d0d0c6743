"""The open requests that were counted, so that each is counted once."""

import weakref
from functools import partial

import attrs

from ebonystream.request import Request


@attrs.define
class CountedRequests:
    """Requests that were counted and are still in use.

    Several attempts of one request may run. A request is known by its identity
    until nothing refers to it any more; its fields need not be unique.
    """

    _references: dict[int, weakref.ref[Request]] = attrs.field(factory=dict)

    def add(self, request: Request) -> bool:
        """Add a request; return False if it was added before.

        Args:
            request: The request.
        """
        key = id(request)
        if key in self._references:
            return False
        self._references[key] = weakref.ref(request, partial(self._forget, key))
        return True

    def __len__(self) -> int:
        """Return the number of counted requests that are still in use."""
        return len(self._references)

    def _forget(self, key: int, reference: weakref.ref[Request]) -> None:
        self._references.pop(key, None)
