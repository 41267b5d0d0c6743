"""State and dependencies that the tasks of an entry host share."""

from random import Random

import attrs
import trio

from ebonystream._ids import Incarnation, Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.decisionlog import EventLogger, LineBuffer
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.entryhost._rank_demands import make_reservations
from ebonystream.entryhost._searches import ActiveSearches, DispatchState
from ebonystream.entryhost._settings import HostSettings
from ebonystream.entryhost._unreadable import UnreadableRecords
from ebonystream.entryhost._usage import (
    LastTask,
    UsageReporting,
    make_usage_reporting,
)
from ebonystream.gossip import HostFacts, HostFactTable
from ebonystream.ingress import OpenConnections
from ebonystream.link import ConnectionPool, ResponseBuffers
from ebonystream.orders import Orders
from ebonystream.placement import (
    ProbeBudget,
    ProcessingTimes,
    Reservations,
    WaitQueues,
    compute_probe_share,
)
from ebonystream.roster import Roster
from ebonystream.suspects import (
    InterruptedRequests,
    SuspectExchange,
    SuspectTable,
)
from ebonystream.versionmove import VersionMoves


@attrs.define(kw_only=True)
class HostParts:
    """State and dependencies of one entry host.

    Attributes:
        settings: The current settings; replaced when the file changes.
        timers: Source of the current time.
        random: Random number generator.
        log_event: Writes an event to the decision log.
        log_buffer: Buffer of the decision log, which counts dropped lines.
        metrics: Counts and latencies for the metrics page.
        background: Nursery of the tasks that no other task waits for.
        server_pool: Connections to backend servers.
        response_buffers: Memory of the responses that are being received.
        roster: The known backend servers.
        orders: Orders of operators.
        processing_times: Usual processing time of each route.
        facts: Newest facts of each entry host.
        incarnation: Incarnation of this host; each restart starts a new one.
        wait_queues: Requests that wait for capacity.
        probe_budget: This host's share of the probes of all hosts.
        moves: The version moves.
        suspects: Requests that may crash backend servers.
        suspect_exchange: Exchanges the suspects with the other hosts.
        interrupted_requests: Requests interrupted since the last probe of
            their server.
        orders_wait_scope: Cancel scope of the latest wait for new orders; None
            before the first.
        store_unreachable: Whether the last read of the servers from the store
            failed.
        orders_source: Host that announced newer orders, to be fetched from it;
            None if there is none.
        orders_announced: Set when `orders_source` is set.
        facts_sequence: Sequence number of the latest facts of this host.
        started_at: When this host started.
        unreadable_records: Records in the store that cannot be decoded.
        caller_connections: Connections from callers.
        leaving: Set once this host is shutting down.
        searches: Searches for a server for the requests of callers.
        store_latency: How much longer than asked for the last long poll of
            the store took, in seconds.
        usage: State of usage reporting; None if it is not asked for.
        last_tasks: Run one after another at the end of a shutdown.
        reservations: Free slots that are left to more urgent requests.
        dispatch_state: What limits attempts; None before requests are handled.
    """

    settings: HostSettings
    timers: Timers
    random: Random
    log_event: EventLogger
    log_buffer: LineBuffer
    metrics: HostMetrics = attrs.field(factory=HostMetrics)
    background: trio.Nursery
    server_pool: ConnectionPool
    response_buffers: ResponseBuffers = attrs.field(factory=ResponseBuffers)
    roster: Roster = attrs.field(factory=Roster)
    orders: Orders = attrs.field(factory=Orders)
    processing_times: ProcessingTimes = attrs.field(factory=ProcessingTimes)
    facts: HostFactTable
    incarnation: Incarnation
    wait_queues: WaitQueues = attrs.field(factory=WaitQueues)
    moves: VersionMoves = attrs.field(factory=VersionMoves)
    suspects: SuspectTable
    suspect_exchange: SuspectExchange
    interrupted_requests: InterruptedRequests = attrs.field(
        factory=InterruptedRequests
    )
    orders_wait_scope: trio.CancelScope | None = None
    store_unreachable: bool = False
    orders_source: HostFacts | None = None
    orders_announced: trio.Event = attrs.field(factory=trio.Event)
    facts_sequence: int = 0
    probe_budget: ProbeBudget = attrs.field(init=False)
    started_at: Monotonic = attrs.field(init=False)
    unreadable_records: UnreadableRecords = attrs.field(init=False)
    caller_connections: OpenConnections = attrs.field(factory=OpenConnections)
    leaving: trio.Event = attrs.field(factory=trio.Event)
    searches: ActiveSearches = attrs.field(factory=ActiveSearches)
    store_latency: Seconds = Seconds(0)
    usage: UsageReporting | None = attrs.field(init=False)
    last_tasks: list[LastTask] = attrs.field(factory=list)
    reservations: Reservations = attrs.field(init=False)
    dispatch_state: DispatchState | None = None

    def is_ready(self) -> bool:
        """Return whether this host can serve callers."""
        has_configuration = self.orders.configuration is not None
        has_servers = self.roster.last_listed_at is not None
        return has_configuration and has_servers and not self.leaving.is_set()

    def has_read(self) -> bool:
        """Return whether this host has orders and entries of servers."""
        has_orders = self.orders.listing is not None
        return has_orders and self.roster.last_listed_at is not None

    def get_probe_rate(self) -> float:
        """Return the probes per second that this host may send.

        The bound of all hosts is shared by what they want, and by their number
        where they want little.
        """
        allowed = self.settings.limits.probe_rate * len(self.roster.servers)
        demands = {
            facts.host: facts.probe_demand
            for facts in self.facts.list_alive(self.timers.now())
        }
        return compute_probe_share(demands, self.settings.name, total=allowed)

    def cancel_orders_wait(self) -> None:
        """Cancel the wait for new orders, so that they are read at once."""
        if self.orders_wait_scope is not None:
            self.orders_wait_scope.cancel()

    def request_orders_from(self, source: HostFacts) -> None:
        """Request that newer orders are fetched from a host.

        Args:
            source: Facts of the host that announced the orders.
        """
        self.orders_source = source
        self.orders_announced.set()

    @probe_budget.default
    def _make_probe_budget(self) -> ProbeBudget:
        return ProbeBudget(self.get_probe_rate)

    @reservations.default
    def _make_reservations(self) -> Reservations:
        return make_reservations(self.facts, self.log_event)

    @started_at.default
    def _read_start(self) -> Monotonic:
        return self.timers.now()

    @unreadable_records.default
    def _make_unreadable_records(self) -> UnreadableRecords:
        return UnreadableRecords(self.log_event)

    @usage.default
    def _make_usage(self) -> UsageReporting | None:
        return make_usage_reporting(
            self.settings, self.incarnation, self.timers
        )
