"""Wires what backend servers bear: cold starts, leaving, crashes, versions."""

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
    """Make the view of what the control stream says of versions.

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
    """The rules that each call to a backend server passes.

    Attributes:
        may_take: Tells whether a server may have a call now.
        begins: See each call just before it is sent.
        observers: Learn from the end of each attempt.
        sponsorship: Which servers this host is the sponsor of.
        standings: Tells peers of servers, and learns from them.
        suspects: Tells peers of crashes, and learns from them.
        view: What is asked of the other entry hosts.
        guard: Makes a placing that refuses requests which crash servers.
        traffic: The version moves of this host.
        evidence: Tells peers of version moves, and learns from them.
    """

    may_take: MayTake
    begins: tuple[Begin, ...]
    observers: tuple[Observe, ...]
    sponsorship: Sponsorship
    standings: StandingExchange
    suspects: SuspectExchange
    view: FleetView
    guard: Callable[[Place], Place]
    traffic: VersionTraffic
    evidence: EvidenceExchange


def make_server_rules(
    *,
    directory: Directory,
    view: FleetView,
    moves: MovesView,
    slots: int,
    timers: Timers,
    random: Random,
) -> ServerRules:
    """Make the rules that each call to a backend server passes.

    Args:
        directory: The servers that are known.
        view: What is asked of the other entry hosts.
        moves: What the control stream says of versions.
        slots: Calls that a server works on at the same time.
        timers: Tells the time.
        random: The seeded source of random choices.
    """
    sponsorship = Sponsorship(view.is_sponsor, view.is_alone, timers)
    starting = StartingRules(
        directory=directory,
        is_active_sponsor=sponsorship.is_active,
        count_in_flight_elsewhere=view.count_elsewhere,
        slots=slots,
        timers=timers,
        wanted=view.wants,
    )
    crash = CrashRules(
        suspects=SuspectTable(timers),
        in_flight=InFlightCalls(),
        directory=directory,
        is_sponsor=view.is_sponsor,
        timers=timers,
        notify_peers=view.tell_peers,
    )
    versions = VersionRules(
        traffic=VersionTraffic(view=moves, directory=directory),
        has_room=_make_room_gate(starting),
        timers=timers,
        notify_peers=view.tell_peers,
    )
    return ServerRules(
        may_take=join_gates(
            make_starting_gate(starting),
            make_version_gate(versions),
            make_crash_gate(crash),
        ),
        begins=(
            make_starting_begin(starting),
            make_version_begin(versions),
            make_crash_begin(crash),
        ),
        observers=(
            make_crash_observer(crash),
            make_starting_observer(starting),
            make_version_observer(versions),
        ),
        sponsorship=sponsorship,
        standings=StandingExchange(directory, timers, random),
        suspects=SuspectExchange(crash.suspects, timers, random),
        view=view,
        guard=partial(make_crash_guard, crash),
        traffic=versions.traffic,
        evidence=EvidenceExchange(versions.traffic),
    )


def _make_room_gate(starting: StartingRules) -> MayTake:
    may_start = make_starting_gate(starting)

    def has_room(call: Call, server: BackendServer) -> bool:
        in_hand = server.in_flight + starting.count_in_flight_elsewhere(
            server.id
        )
        return in_hand < starting.slots and may_start(call, server)

    return has_room


def join_gates(*gates: MayTake) -> MayTake:
    """Make the predicate that holds where all of several hold.

    Args:
        gates: The predicates.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        return all(gate(call, server) for gate in gates)

    return may_take


async def refresh_sponsorship(
    rules: ServerRules, directory: Directory, timers: Timers
) -> None:
    """Look again and again at which servers this host is the sponsor of.

    Args:
        rules: The rules of this host.
        directory: The servers that are known.
        timers: Wakes the task.
    """
    async for _ in timers.subscribe(period=SPONSOR_CHECK_PERIOD):
        rules.sponsorship.refresh(directory.servers.values())
