"""The policies that are compared: how a host finds a server for a request."""

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

RETRY = Seconds(0.1)
TWO = 2
TICK = Seconds(0.002)
"""How often a request that waits at the oracle looks."""


@attrs.frozen
class Policy:
    """One policy.

    Attributes:
        make_find_room: Makes the placing of one host.
        knows_returns: Whether callers that came back are known as such.
        sees_all: Whether a host sees every server at once and for nothing.
    """

    make_find_room: Callable[[SearchContext], FindServer]
    knows_returns: bool = True
    sees_all: bool = False

    def make_patience(self) -> FirstRequestEstimator:
        """Make what tells when a caller asked first."""
        return FirstRequestEstimator() if self.knows_returns else _Forgetful()


@attrs.define
class _Forgetful(FirstRequestEstimator):
    """Takes each request for a new one."""

    def estimate_first_request(
        self, request: Request, route: Route
    ) -> Monotonic:
        """Give when the request came."""
        return request.arrived_at


def _make_blind(finder: SearchContext) -> FindServer:
    """Send to any server, without asking it."""

    async def find_room(wanted: PlacementRequest) -> Candidate | NoCapacity:
        await trio.lowlevel.checkpoint()
        servers = finder.list_servers(wanted.service, wanted.version_draw)
        left = [
            one
            for one in servers
            if one.entry.id not in wanted.excluded_servers
        ]
        if not left:
            return NoCapacity(
                retry_after=RETRY, probe_count=0, reason='none_willing'
            )
        server = finder.random.choice(left)
        now = finder.timers.now()
        return Candidate(
            probe_result=ProbeResult(server, None, now),
            expected_latency=wanted.route.objective,
            slowdown=1,
            probe_count=0,
            has_free_slot=True,
        )

    return find_room


def _make_two_choices(finder: SearchContext) -> FindServer:
    """Ask two servers, and take the better one; nobody waits."""

    async def find_room(wanted: PlacementRequest) -> Candidate | NoCapacity:
        servers = finder.list_servers(wanted.service, wanted.version_draw)
        left = [
            one
            for one in servers
            if one.entry.id not in wanted.excluded_servers
        ]
        asked = finder.random.sample(left, min(TWO, len(left)))
        seen = [await finder.probe(one) for one in asked]
        setting = SelectionCriteria(
            processing_time=finder.processing_times.get(wanted.route),
            zone=finder.zone,
            now=finder.timers.now(),
            allow_late=True,
        )
        return select_server(wanted, seen, setting)

    return find_room


def _make_oracle(finder: SearchContext) -> FindServer:
    """Know every server at once; one line for all hosts, nobody is late."""

    async def find_room(wanted: PlacementRequest) -> Candidate | NoCapacity:
        found: Candidate | NoCapacity = NoCapacity(
            retry_after=RETRY, probe_count=0, reason='full'
        )
        with finder.queues.join(wanted) as place:
            while isinstance(found, NoCapacity) and _may_hope(finder, wanted):
                now = finder.timers.now()
                if finder.queues.claim_probe_turn(
                    place, now, period=Seconds(0)
                ):
                    found = await _look_everywhere(finder, wanted)
                if isinstance(found, NoCapacity):
                    await trio.sleep(TICK)
        return found

    return find_room


def _may_hope(finder: SearchContext, wanted: PlacementRequest) -> bool:
    work = finder.processing_times.get(wanted.route)
    return not wanted.is_late_if_started_at(finder.timers.now(), work)


async def _look_everywhere(
    finder: SearchContext, wanted: PlacementRequest
) -> Candidate | NoCapacity:
    servers = finder.list_servers(wanted.service, wanted.version_draw)
    setting = SelectionCriteria(
        processing_time=finder.processing_times.get(wanted.route),
        zone=finder.zone,
        now=finder.timers.now(),
    )
    seen = [await finder.probe(server) for server in servers]
    return select_server(wanted, seen, setting)


POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'product': Policy(make_find_server),
        'returns unknown': Policy(make_find_server, knows_returns=False),
        'two choices': Policy(_make_two_choices),
        'blind': Policy(_make_blind),
        'oracle': Policy(_make_oracle, sees_all=True),
    }
)
