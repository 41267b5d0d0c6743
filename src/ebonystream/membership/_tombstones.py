"""Incarnations that are gone."""

import attrs

from ebonystream._ids import Incarnation

MAX_TOMBSTONES = 4096
"""Far enough back that no delayed message of an older incarnation arrives; the
record takes up to 0.5 MB."""


@attrs.define
class Tombstones:
    """Record of the incarnations that ended last.

    Attributes:
        incarnations: Incarnations, the earliest first.
    """

    incarnations: dict[Incarnation, None] = attrs.field(factory=dict)

    def add(self, incarnation: Incarnation) -> None:
        """Record an incarnation, and evict the earliest one if necessary."""
        self.incarnations[incarnation] = None
        if len(self.incarnations) > MAX_TOMBSTONES:
            self.incarnations.pop(next(iter(self.incarnations)))

    def __contains__(self, incarnation: object) -> bool:
        """Return whether an incarnation is recorded as gone."""
        return incarnation in self.incarnations
