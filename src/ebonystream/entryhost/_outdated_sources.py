"""Sources of orders that have older ones than this host."""

import attrs

from ebonystream.decisionlog import EventLogger
from ebonystream.orders import OrdersPosition

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

    def compare(
        self, source: str, found: OrdersPosition, held: OrdersPosition
    ) -> None:
        """Compare the orders of a source with those of this host.

        Args:
            source: The name of a host, or `STORE_SOURCE`.
            found: Position of the source.
            held: Position of this host as it asked the source.
        """
        if found >= held:
            self.behind.discard(source)
        elif source not in self.behind:
            self.behind.add(source)
            self.log_event(
                'orders_outdated',
                source=source,
                era=found.era,
                end=found.end,
                own_era=held.era,
                own_end=held.end,
            )
