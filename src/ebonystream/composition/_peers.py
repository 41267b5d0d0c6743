"""What other entry hosts said, for reports on moves."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import EpochMs, HostId, Offset
from ebonystream.move import Confirmation

NOTHING_FOLDED = Offset(0)


@attrs.define
class ListedPeers:
    """Entry hosts on the platform's list that were never heard.

    A move waits for each of them: a host that is listed may serve callers.

    Attributes:
        since: When each was first seen on the list.
    """

    since: dict[HostId, EpochMs] = attrs.field(factory=dict)

    def replace(self, names: Iterable[HostId], now_ms: EpochMs) -> None:
        """Take over a reading of the host list.

        Args:
            names: Every entry host on the list but this one.
            now_ms: The wall clock.
        """
        self.since = {
            name: self.since.get(name, now_ms) for name in sorted(names)
        }

    def list_confirmations(self) -> tuple[Confirmation, ...]:
        """Give one for each host; none of them confirmed anything."""
        return tuple(
            Confirmation(name, None, NOTHING_FOLDED, {}, silent_since=since)
            for name, since in self.since.items()
        )
