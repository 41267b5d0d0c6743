"""Incarnations that were seen as gone."""

import attrs

from ebonystream._ids import Incarnation

MAX_TOMBSTONES = 4096
"""More than any network delay could bring back; 0.5 MB."""


@attrs.define
class Tombstones:
    """Remembers the incarnations that were last seen as gone.

    Attributes:
        gone: The incarnations, the earliest first.
    """

    gone: dict[Incarnation, None] = attrs.field(factory=dict)

    def add(self, incarnation: Incarnation) -> None:
        """Remember an incarnation, and forget the earliest beyond the bound."""
        self.gone[incarnation] = None
        if len(self.gone) > MAX_TOMBSTONES:
            self.gone.pop(next(iter(self.gone)))

    def __contains__(self, incarnation: object) -> bool:
        """Tell whether an incarnation was seen as gone."""
        return incarnation in self.gone
