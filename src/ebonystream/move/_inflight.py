"""Calls that this host has in hand in each zone."""

from collections.abc import Callable

import attrs

from ebonystream._ids import ZoneName


@attrs.define
class ZonesInFlight:
    """Counts calls from their place at a server until they ended.

    It counts apart from the list of servers: a server that vanished from the
    platform's list still has its calls in hand.

    Attributes:
        is_out: Tells whether operators took a zone out.
        calls: The calls in hand; zones without any are left out.
    """

    is_out: Callable[[ZoneName], bool]
    calls: dict[ZoneName, int] = attrs.field(factory=dict)

    def begin(self, zone: ZoneName) -> None:
        """Count a call that is about to be sent."""
        assert not self.is_out(zone), f'new work for zone {zone}, which is out'
        self.calls[zone] = self.calls.get(zone, 0) + 1

    def end(self, zone: ZoneName) -> None:
        """Count a call that ended, however it did."""
        left = self.calls.pop(zone, 0) - 1
        assert left >= 0, f'more calls ended in zone {zone} than began'
        if left:
            self.calls[zone] = left
