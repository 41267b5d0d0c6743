"""Dependencies and state of the search for a server."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import attrs
import trio

from ebonystream._ids import ServiceName, ZoneName
from ebonystream._timers import Timers
from ebonystream.placement._estimate import ProcessingTimes
from ebonystream.placement._probe import Probe
from ebonystream.placement._probe_budget import (
    ProbeBudget,
    make_unlimited_budget,
)
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reservations import Reservations
from ebonystream.placement._results import Candidate, NoCapacity
from ebonystream.placement._wait_history import WaitHistory
from ebonystream.placement._wait_queue import WaitQueues
from ebonystream.roster import KnownServer

FindServer = Callable[[PlacementRequest], Awaitable[Candidate | NoCapacity]]
"""Selects a server for a request, or returns when to retry."""

ListServers = Callable[[ServiceName, float], Sequence[KnownServer]]
"""Lists the servers of a service that may now receive a request, given the
random number that selects its version."""


MayReceive = Callable[[KnownServer], bool]
"""Returns whether this host may now send a request to a server."""


IsPatient = Callable[[PlacementRequest], bool]
"""Returns whether a request has time to spare, compared with more urgent
requests of its service."""


def treat_as_patient(request: PlacementRequest) -> bool:
    """Treat each request as one that has time to spare."""
    return True


def allow_all(server: KnownServer) -> bool:
    """Allow each server to receive requests."""
    return True


@attrs.frozen(kw_only=True)
class SearchContext:
    """Dependencies and state of the search for a server.

    Attributes:
        list_servers: Lists the servers that may receive a request.
        probe: Probes one server for its load.
        processing_times: Usual processing time of each route.
        queues: Requests that wait for capacity.
        zone: Availability zone of this host.
        timers: Source of the current time.
        random: Random number generator.
        background: Nursery in which probes run.
        budget: This host's share of the probes of all hosts.
        may_receive: Limits requests to servers, such as to cold ones.
        reservations: Free slots that are left to more urgent requests.
        waits: When requests last waited for each service.
        is_patient: Tells which requests leave free slots to more urgent ones.
    """

    list_servers: ListServers
    probe: Probe
    processing_times: ProcessingTimes
    queues: WaitQueues
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery
    budget: ProbeBudget = attrs.field(factory=make_unlimited_budget)
    may_receive: MayReceive = allow_all
    reservations: Reservations = attrs.field(factory=Reservations)
    waits: WaitHistory = attrs.field(factory=WaitHistory)
    is_patient: IsPatient = treat_as_patient
