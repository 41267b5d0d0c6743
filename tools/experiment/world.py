"""What a run holds: servers that are known, and what was counted."""

from collections import Counter

import attrs
import numpy as np
import trio

from ebonystream._ids import Monotonic, Seconds, ServerId, ZoneName
from ebonystream.roster import KnownServer
from experiment.loads import (
    TROUBLE_FROM,
    TROUBLE_UNTIL,
    ZONES,
    Demand,
    Load,
)
from experiment.servers import ModelServer, make_servers

WINDOW = Seconds(2)
LATE_WORTH = 0.1
"""What a late answer is worth, beside one that is on time."""


@attrs.frozen(kw_only=True)
class Outcome:
    """How one caller fared.

    Attributes:
        demand: What it asked for.
        came: When it asked first.
        took: Until its answer; None where it got none.
    """

    demand: Demand
    came: Monotonic
    took: Seconds | None

    def get_credit(self) -> float:
        """Give the share of its worth that it earned."""
        if self.took is None:
            return 0
        return 1 if self.took <= self.demand.route.objective else LATE_WORTH


@attrs.define
class World:
    """One run.

    Attributes:
        load: What is played.
        generator: Draws work and arrivals.
        servers: The servers by name.
        counts: What was counted: questions, questions and sends to other
            zones, refusals.
        outcomes: How each caller fared.
    """

    load: Load
    generator: np.random.Generator
    servers: dict[ServerId, ModelServer] = attrs.field(init=False)
    counts: Counter[str] = attrs.field(factory=Counter)
    outcomes: list[Outcome] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Make the servers."""
        made = make_servers(self.load.servers, ZONES)
        self.servers = {one.entry.id: one for one in made}

    def is_troubled(self) -> bool:
        """Tell whether the trouble of the load is on."""
        return TROUBLE_FROM <= trio.current_time() < TROUBLE_UNTIL

    def list_open(self, known: list[KnownServer]) -> list[KnownServer]:
        """List the servers whose zone may get work now.

        Args:
            known: All servers, as one host knows them.
        """
        if not self.is_troubled():
            return known
        out = ZONES[: self.load.zones_out]
        return [one for one in known if one.entry.zone not in out]

    async def trouble(self) -> None:
        """Slow servers down and let them be quick again."""
        slow = list(self.servers.values())
        slow = slow[: round(self.load.slow_share * len(slow))]
        await trio.sleep_until(TROUBLE_FROM)
        for server in slow:
            server.pace = self.load.slowness
        await trio.sleep_until(TROUBLE_UNTIL)
        for server in slow:
            server.pace = 1


def get_zone(host: int) -> ZoneName:
    """Give the zone of an entry host, by its number."""
    return ZoneName(ZONES[host % len(ZONES)])
