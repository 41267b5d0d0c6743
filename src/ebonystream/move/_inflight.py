"""Calls of this host that are in flight, by zone."""

from collections.abc import Callable

import attrs

from ebonystream._ids import ZoneName


@attrs.define
class ZonesInFlight:
    """Counter of calls, from their placement at a server until they end.

    The counts do not depend on the list of servers, as a server that the
    platform no longer lists may still have calls in flight.

    Attributes:
        is_evacuated: Returns whether a zone is evacuated.
        calls: Number of calls in flight, by zone; zones without calls are
            omitted.
    """

    is_evacuated: Callable[[ZoneName], bool]
    calls: dict[ZoneName, int] = attrs.field(factory=dict)

    def begin(self, zone: ZoneName) -> None:
        """Count a call before it is sent; assert that its zone is in use."""
        assert not self.is_evacuated(zone), (
            f'new work for zone {zone}, which is out'
        )
        self.calls[zone] = self.calls.get(zone, 0) + 1

    def end(self, zone: ZoneName) -> None:
        """Count a call that has ended, whatever its result."""
        remaining = self.calls.pop(zone, 0) - 1
        assert remaining >= 0, f'more calls ended in zone {zone} than began'
        if remaining:
            self.calls[zone] = remaining
