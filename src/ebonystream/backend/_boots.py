"""The incarnations of a backend server, identified by their boot ids."""

import enum
from collections import deque

import attrs

from ebonystream._ids import BootId

MAX_ENDED_BOOTS = 8
"""Ended incarnations of a server that are kept to recognise late responses."""


class BootChange(enum.Enum):
    """How a boot id relates to the known incarnations of a server."""

    SAME = 'same'
    """The current incarnation, or no boot id was reported."""

    FIRST = 'first'
    """The first incarnation that is known."""

    RESTARTED = 'restarted'
    """A new incarnation that replaces the current one."""

    EARLIER = 'earlier'
    """An incarnation that has ended; its responses are late."""


@attrs.define
class BootHistory:
    """The incarnations of one backend server.

    Attributes:
        current: Boot id of the latest incarnation; None if none was reported.
        earlier: Boot ids of ended incarnations, the latest last.
    """

    current: BootId | None = None
    earlier: deque[BootId] = attrs.field(
        factory=lambda: deque(maxlen=MAX_ENDED_BOOTS)
    )

    def record(self, boot: BootId | None) -> BootChange:
        """Record a boot id and return how it relates to the known ones.

        Args:
            boot: The reported boot id, if any.
        """
        change = self._classify(boot)
        if change is BootChange.RESTARTED and self.current is not None:
            self.earlier.append(self.current)
        if change in {BootChange.FIRST, BootChange.RESTARTED}:
            self.current = boot
        return change

    def is_earlier(self, boot: BootId | None) -> bool:
        """Return whether a boot id is that of an ended incarnation."""
        return boot is not None and boot in self.earlier

    def may_be_current(self, boot: BootId | None) -> bool:
        """Return whether a boot id may be that of the current incarnation."""
        return boot is None or self.current in {None, boot}

    def _classify(self, boot: BootId | None) -> BootChange:
        if boot is None or boot == self.current:
            return BootChange.SAME
        if self.is_earlier(boot):
            return BootChange.EARLIER
        if self.current is None:
            return BootChange.FIRST
        return BootChange.RESTARTED
