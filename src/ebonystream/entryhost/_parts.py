"""What the tasks of an entry host share."""

from random import Random

import attrs
import trio

from ebonystream._ids import Incarnation
from ebonystream._timers import Timers
from ebonystream.decisionlog import EventLogger, LineBuffer
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.entryhost._settings import HostSettings
from ebonystream.gossip import HostFacts, HostFactTable
from ebonystream.ingress import OpenConnections
from ebonystream.link import ConnectionPool
from ebonystream.orders import Orders
from ebonystream.placement import ProcessingTimes, WaitQueues
from ebonystream.roster import Roster
from ebonystream.suspects import (
    InterruptedRequests,
    SuspectExchange,
    SuspectTable,
)
from ebonystream.versionmove import VersionMoves


@attrs.define(kw_only=True)
class HostParts:
    """The state of one entry host, and what its tasks use.

    Attributes:
        settings: Its settings.
        timers: Tells the time.
        random: The source of chance.
        note: Writes the decision log.
        log: Where its lines go, and how many were dropped.
        metrics: What this host counts.
        background: Where tasks go on that nobody waits for.
        roster: The backend servers that are known.
        orders: What operators ordered.
        work_times: The usual work of each route.
        servers_pool: Connections to backend servers.
        lines: The requests that wait for room.
        connections: Connections from callers.
        facts: What entry hosts said of themselves.
        incarnation: Names this run of the host.
        moves: The version moves.
        suspects: Requests that may end servers.
        crash_notes: What hosts tell one another of these.
        cuts: Requests that were cut off lately.
        orders_wait: The wait for new orders that is under way.
        detached: Whether the store did not answer this host's last question.
        news_from: The host that last told of orders unknown here.
        news: Set when such a host was heard.
        said: How often this host has made its facts.
        unreadable: Records of the store that were logged as unreadable.
        leaving: Set once this host was told to stop.
    """

    settings: HostSettings
    timers: Timers
    random: Random
    note: EventLogger
    log: LineBuffer
    metrics: HostMetrics = attrs.field(factory=HostMetrics)
    background: trio.Nursery
    servers_pool: ConnectionPool
    roster: Roster = attrs.field(factory=Roster)
    orders: Orders = attrs.field(factory=Orders)
    work_times: ProcessingTimes = attrs.field(factory=ProcessingTimes)
    facts: HostFactTable
    incarnation: Incarnation
    lines: WaitQueues = attrs.field(factory=WaitQueues)
    moves: VersionMoves = attrs.field(factory=VersionMoves)
    suspects: SuspectTable
    crash_notes: SuspectExchange
    cuts: InterruptedRequests = attrs.field(factory=InterruptedRequests)
    orders_wait: trio.CancelScope | None = None
    detached: bool = False
    news_from: HostFacts | None = None
    news: trio.Event = attrs.field(factory=trio.Event)
    said: int = 0
    unreadable: set[tuple[str, str]] = attrs.field(factory=set)
    connections: OpenConnections = attrs.field(factory=OpenConnections)
    leaving: trio.Event = attrs.field(factory=trio.Event)

    def is_ready(self) -> bool:
        """Tell whether this host can serve callers."""
        known = self.orders.configuration is not None
        listed = self.roster.last_listed_at is not None
        return known and listed and not self.leaving.is_set()

    def wake_orders(self) -> None:
        """End a wait for new orders, so that they are read at once."""
        if self.orders_wait is not None:
            self.orders_wait.cancel()

    def hear_news(self, source: HostFacts) -> None:
        """Have a host asked that knows orders which are unknown here.

        Args:
            source: What it said.
        """
        self.news_from = source
        self.news.set()
