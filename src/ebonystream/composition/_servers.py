"""Wiring of the rules on calls to backend servers.

They limit calls to servers that are starting, draining or leaving, isolate
requests that crash servers, and split the calls of a service between versions.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.backend import (
    BackendServer,
    Begin,
    Directory,
    MayTake,
    Observe,
    Place,
    Sponsorship,
    StandingExchange,
    StartingRules,
    make_starting_begin,
    make_starting_gate,
    make_starting_observer,
)
from ebonystream.call import Call
from ebonystream.composition._fleet import FleetView
from ebonystream.configuration import ControlReplica
from ebonystream.crash import (
    CrashRules,
    InFlightCalls,
    make_crash_begin,
    make_crash_gate,
    make_crash_guard,
    make_crash_observer,
)
from ebonystream.move import Moves
from ebonystream.suspects import SuspectExchange, SuspectTable
from ebonystream.version import (
    EvidenceExchange,
    MovesView,
    VersionRules,
    VersionTraffic,
    make_version_begin,
    make_version_gate,
    make_version_observer,
)

SPONSOR_CHECK_PERIOD = Seconds(0.5)


def make_moves_view(control: ControlReplica) -> MovesView:
    """Make the view of the version moves in the control stream.

    Args:
        control: The state that this host folds from the control stream.
    """

    def get_moves() -> Moves:
        return control.folded_state.moves

    return MovesView(
        list_moves=lambda: get_moves().table.list_open_version_moves(),
        find_settled_version=lambda service: get_moves().versions.settled.get(
            service
        ),
        is_rolled_back=lambda service, version: (
            get_moves().versions.is_rolled_back(service, version)
        ),
    )


@attrs.frozen(kw_only=True)
class ServerRules:
    """The rules on calls to backend servers, and the state behind them.

    Attributes:
        may_take: Returns whether a server may take a call now.
        begins: Functions that check and record each call before it is sent.
        observers: Functions that are called at the end of each attempt.
        sponsorship: The servers that this host is the sponsor of.
        standing_exchange: Exchanges the phases of servers with peers.
        suspect_exchange: Exchanges requests that may crash servers with peers.
        fleet: The other entry hosts.
        make_crash_guard: Makes a placement function that refuses requests which
            crash servers.
        version_traffic: The version moves of this host.
        evidence_exchange: Exchanges the evidence of version moves with peers.
    """

    may_take: MayTake
    begins: tuple[Begin, ...]
    observers: tuple[Observe, ...]
    sponsorship: Sponsorship
    standing_exchange: StandingExchange
    suspect_exchange: SuspectExchange
    fleet: FleetView
    make_crash_guard: Callable[[Place], Place]
    version_traffic: VersionTraffic
    evidence_exchange: EvidenceExchange


def make_server_rules(
    *,
    directory: Directory,
    fleet: FleetView,
    moves_view: MovesView,
    slots_per_server: int,
    timers: Timers,
    random: Random,
) -> ServerRules:
    """Make the rules on calls to backend servers.

    Args:
        directory: The known servers.
        fleet: The other entry hosts.
        moves_view: The version moves in the control stream.
        slots_per_server: Number of calls that a server processes concurrently.
        timers: Source of the current time.
        random: Random number generator.
    """
    sponsorship = Sponsorship(fleet.is_sponsor, fleet.is_alone, timers)
    starting_rules = StartingRules(
        directory=directory,
        is_active_sponsor=sponsorship.is_active,
        count_in_flight_elsewhere=fleet.count_in_flight_elsewhere,
        slots=slots_per_server,
        timers=timers,
        wanted=fleet.wanted_servers,
    )
    crash_rules = CrashRules(
        suspects=SuspectTable(timers),
        in_flight=InFlightCalls(),
        directory=directory,
        is_sponsor=fleet.is_sponsor,
        timers=timers,
        notify_peers=fleet.notify_peers,
    )
    version_rules = VersionRules(
        traffic=VersionTraffic(view=moves_view, directory=directory),
        has_room=_make_room_gate(starting_rules),
        timers=timers,
        notify_peers=fleet.notify_peers,
    )
    return ServerRules(
        may_take=combine_gates(
            make_starting_gate(starting_rules),
            make_version_gate(version_rules),
            make_crash_gate(crash_rules),
        ),
        begins=(
            make_starting_begin(starting_rules),
            make_version_begin(version_rules),
            make_crash_begin(crash_rules),
        ),
        observers=(
            make_crash_observer(crash_rules),
            make_starting_observer(starting_rules),
            make_version_observer(version_rules),
        ),
        sponsorship=sponsorship,
        standing_exchange=StandingExchange(directory, timers, random),
        suspect_exchange=SuspectExchange(crash_rules.suspects, timers, random),
        fleet=fleet,
        make_crash_guard=partial(make_crash_guard, crash_rules),
        version_traffic=version_rules.traffic,
        evidence_exchange=EvidenceExchange(version_rules.traffic),
    )


def _make_room_gate(starting_rules: StartingRules) -> MayTake:
    may_take = make_starting_gate(starting_rules)

    def has_room(call: Call, server: BackendServer) -> bool:
        in_flight = server.in_flight + starting_rules.count_in_flight_elsewhere(
            server.id
        )
        return in_flight < starting_rules.slots and may_take(call, server)

    return has_room


def combine_gates(*gates: MayTake) -> MayTake:
    """Make the predicate that is true if all of several are true.

    Args:
        gates: The predicates.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        return all(gate(call, server) for gate in gates)

    return may_take


async def refresh_sponsorship(
    rules: ServerRules, directory: Directory, timers: Timers
) -> None:
    """Update the sponsorships of this host periodically, until cancelled.

    Args:
        rules: The rules on calls to backend servers.
        directory: The known servers.
        timers: Starts each update.
    """
    async for _ in timers.subscribe(period=SPONSOR_CHECK_PERIOD):
        rules.sponsorship.refresh(directory.servers.values())
