"""The compared policies, by which a host finds a server for a request."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch import FirstRequestEstimator
from ebonystream.placement import (
    Candidate,
    FindServer,
    NoCapacity,
    PlacementRequest,
    ProbeResult,
    SearchContext,
    SelectionCriteria,
    make_find_server,
    select_server,
)
from ebonystream.request import Request
from ebonystream.route import Route

RETRY_AFTER = Seconds(0.1)
PROBES_PER_REQUEST = 2
"""Number of servers probed by the policy of two choices."""

ORACLE_POLL_INTERVAL = Seconds(0.002)
"""Interval at which the oracle retries a waiting request."""


@attrs.frozen
class Policy:
    """A policy.

    Attributes:
        make_find_server: Builds the function by which a host finds a server.
        recognizes_retries: Whether the time of a caller's first request is
            estimated; otherwise each request counts as a first one.
        has_global_view: Whether messages to servers arrive without delay and
            all hosts share one wait queue.
        reserves_slots: Whether free slots are left to more urgent requests.
    """

    make_find_server: Callable[[SearchContext], FindServer]
    recognizes_retries: bool = True
    has_global_view: bool = False
    reserves_slots: bool = True

    def make_estimator(self) -> FirstRequestEstimator:
        """Return an estimator of when a caller made its first request."""
        return (
            FirstRequestEstimator()
            if self.recognizes_retries
            else _ArrivalTimeEstimator()
        )


@attrs.define
class _ArrivalTimeEstimator(FirstRequestEstimator):
    """Treats each request as the first one of its caller."""

    def estimate_first_request(
        self, request: Request, route: Route
    ) -> Monotonic:
        """Return when the request arrived."""
        return request.arrived_at


def _make_blind(context: SearchContext) -> FindServer:
    """Return a function that selects a random server without a probe."""

    async def find_server(request: PlacementRequest) -> Candidate | NoCapacity:
        await trio.lowlevel.checkpoint()
        servers = context.list_servers(request.service, request.version_draw)
        eligible = [
            known_server
            for known_server in servers
            if known_server.entry.id not in request.excluded_servers
        ]
        if not eligible:
            return NoCapacity(
                retry_after=RETRY_AFTER, probe_count=0, reason='none_willing'
            )
        server = context.random.choice(eligible)
        now = context.timers.now()
        return Candidate(
            probe_result=ProbeResult(server, None, now),
            expected_latency=request.route.objective,
            slowdown=1,
            probe_count=0,
            has_free_slot=True,
        )

    return find_server


def _make_two_choices(context: SearchContext) -> FindServer:
    """Return a function that probes two servers and selects the better one.

    Requests do not wait for capacity.
    """

    async def find_server(request: PlacementRequest) -> Candidate | NoCapacity:
        servers = context.list_servers(request.service, request.version_draw)
        eligible = [
            known_server
            for known_server in servers
            if known_server.entry.id not in request.excluded_servers
        ]
        sampled = context.random.sample(
            eligible, min(PROBES_PER_REQUEST, len(eligible))
        )
        probe_results = [await context.probe(server) for server in sampled]
        criteria = SelectionCriteria(
            processing_time=context.processing_times.get(request.route),
            zone=context.zone,
            now=context.timers.now(),
            allow_late=True,
        )
        return select_server(request, probe_results, criteria)

    return find_server


def _make_oracle(context: SearchContext) -> FindServer:
    """Return a function that selects from the current load of all servers.

    A request waits for capacity only as long as it can meet its objective.
    """

    async def find_server(request: PlacementRequest) -> Candidate | NoCapacity:
        result: Candidate | NoCapacity = NoCapacity(
            retry_after=RETRY_AFTER, probe_count=0, reason='full'
        )
        with context.queues.join(request) as waiter:
            while isinstance(result, NoCapacity) and _can_be_on_time(
                context, request
            ):
                now = context.timers.now()
                if context.queues.claim_probe_turn(
                    waiter, now, period=Seconds(0)
                ):
                    result = await _probe_all_servers(context, request)
                if isinstance(result, NoCapacity):
                    await trio.sleep(ORACLE_POLL_INTERVAL)
        return result

    return find_server


def _can_be_on_time(context: SearchContext, request: PlacementRequest) -> bool:
    processing_time = context.processing_times.get(request.route)
    return not request.is_late_if_started_at(
        context.timers.now(), processing_time
    )


async def _probe_all_servers(
    context: SearchContext, request: PlacementRequest
) -> Candidate | NoCapacity:
    servers = context.list_servers(request.service, request.version_draw)
    criteria = SelectionCriteria(
        processing_time=context.processing_times.get(request.route),
        zone=context.zone,
        now=context.timers.now(),
    )
    probe_results = [await context.probe(server) for server in servers]
    return select_server(request, probe_results, criteria)


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'product': Policy(make_find_server),
        'without reserve': Policy(make_find_server, reserves_slots=False),
        'returns unknown': Policy(make_find_server, recognizes_retries=False),
        'two choices': Policy(_make_two_choices),
        'blind': Policy(_make_blind),
        'oracle': Policy(_make_oracle, has_global_view=True),
    }
)
