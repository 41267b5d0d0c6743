"""The runs of a backend server, told apart by their boot ids."""

import enum
from collections import deque

import attrs

from ebonystream._ids import BootId

REMEMBERED_BOOTS = 8
"""Earlier runs of a server whose late answers are recognised."""


class BootNews(enum.Enum):
    """What a boot id tells of a server."""

    SAME = 'same'
    """The run that is known, or none was named."""

    FIRST = 'first'
    """No run was known before."""

    RESTARTED = 'restarted'
    """A run that is new."""

    EARLIER = 'earlier'
    """A run that has ended: whatever comes of it is late."""


@attrs.define
class BootHistory:
    """The runs of one backend server.

    Attributes:
        current: The newest run, if any was named.
        earlier: Runs that have ended, the newest last.
    """

    current: BootId | None = None
    earlier: deque[BootId] = attrs.field(
        factory=lambda: deque(maxlen=REMEMBERED_BOOTS)
    )

    def note(self, boot: BootId | None) -> BootNews:
        """Take a boot id in and tell what it means.

        Args:
            boot: The run that was named, if any.
        """
        news = self._compare(boot)
        if news is BootNews.RESTARTED and self.current is not None:
            self.earlier.append(self.current)
        if news in {BootNews.FIRST, BootNews.RESTARTED}:
            self.current = boot
        return news

    def is_earlier(self, boot: BootId | None) -> bool:
        """Tell whether a run has ended."""
        return boot is not None and boot in self.earlier

    def may_be_same(self, boot: BootId | None) -> bool:
        """Tell whether a boot id does not name another run than the current."""
        return boot is None or self.current in {None, boot}

    def _compare(self, boot: BootId | None) -> BootNews:
        if boot is None or boot == self.current:
            return BootNews.SAME
        if self.is_earlier(boot):
            return BootNews.EARLIER
        if self.current is None:
            return BootNews.FIRST
        return BootNews.RESTARTED
