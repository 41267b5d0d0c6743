"""What peers wait for, as far as they asked this host."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ZoneName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.peer import AskSlots
from ebonystream.routing._waiting import Waiting

ASK_LIFE = 0.05
"""How long an unanswered request of a peer is remembered, in seconds."""

HOLD_MARGIN = 0.05
"""How much longer a peer's call of the same rank must wait, in seconds."""


@attrs.define
class PeerAsk:
    """A peer's request for slots.

    Attributes:
        ask: The message.
        at: When it came.
        granted: How many slots it was given.
    """

    ask: AskSlots
    at: Monotonic
    granted: int = 0

    @property
    def zone(self) -> ZoneName:
        """The zone that the peer stands in."""
        return self.ask.zone

    def is_open(self, now: Monotonic) -> bool:
        """Tell whether the peer still wants a slot."""
        fresh = now - self.at < ASK_LIFE
        return fresh and self.granted < self.ask.wanted

    def get_age(self, now: Monotonic) -> Seconds:
        """Give how long the peer's first call has waited, in seconds."""
        return Seconds(now - self.at + self.ask.waited_ms / MS_PER_SECOND)

    def precedes(self, waiting: Waiting, now: Monotonic) -> bool:
        """Tell whether the peer's call goes before one of this host."""
        if self.ask.rank != waiting.rank:
            return self.ask.rank < waiting.rank
        return self.get_age(now) > now - waiting.since + HOLD_MARGIN


@attrs.define
class PeerAsks:
    """The newest request of each peer.

    Attributes:
        by_host: The requests.
    """

    by_host: dict[HostId, PeerAsk] = attrs.field(factory=dict)

    def remember(self, ask: AskSlots, now: Monotonic) -> None:
        """Take a request in place of the peer's earlier one."""
        self.by_host[ask.host] = PeerAsk(ask, now)

    def find_first(self, now: Monotonic) -> PeerAsk | None:
        """Give the most urgent request that is still open, if any."""
        gone = [
            host for host, ask in self.by_host.items() if not ask.is_open(now)
        ]
        for host in gone:
            self.by_host.pop(host)
        if not self.by_host:
            return None
        return min(
            self.by_host.values(),
            key=lambda one: (one.ask.rank, -one.get_age(now)),
        )
