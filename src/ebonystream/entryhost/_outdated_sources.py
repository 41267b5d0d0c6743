"""Sources of orders that have older ones than this host."""

import attrs

from ebonystream._ids import Offset
from ebonystream.decisionlog import EventLogger

STORE_SOURCE = 'store'


@attrs.define
class OutdatedSources:
    """The sources that are behind this host, logged once each.

    Attributes:
        log_event: Writes a log line.
        behind: Names of the sources that have not caught up since their line.
    """

    log_event: EventLogger
    behind: set[str] = attrs.field(factory=set)

    def compare(self, source: str, source_end: Offset, own_end: Offset) -> None:
        """Compare the orders of a source with those of this host.

        Args:
            source: The name of a host, or `STORE_SOURCE`.
            source_end: End of the orders, according to the source.
            own_end: End of the orders of this host as it asked the source.
        """
        if not is_outdated(source_end, own_end):
            self.behind.discard(source)
        elif source not in self.behind:
            self.behind.add(source)
            self.log_event(
                'orders_outdated',
                source=source,
                end=source_end,
                own_end=own_end,
            )


def is_outdated(source_end: Offset, own_end: Offset) -> bool:
    """Return whether a source has older orders than this host.

    Args:
        source_end: End of the orders, according to the source.
        own_end: End of the orders of this host.
    """
    return source_end < own_end
