"""What the rules on backend servers ask of the other entry hosts."""

from collections.abc import Callable, Iterator

import attrs

from ebonystream._cache import ExpiringCache
from ebonystream._ids import HostId, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import WantedServers
from ebonystream.membership import MemberState, MemberTable, choose_first
from ebonystream.peer import Heartbeat

SILENT_FOR_LONG = Seconds(10)
"""Silence after which a listed host is no sponsor and has nothing in flight.

Until then hosts agree on sponsors by the host list, whomever they reach.
"""

SPONSOR_AGE = Seconds(0.1)
"""How long a choice of sponsor is remembered: far less than a new sponsor
waits before its first call."""

STOPPING = frozenset((MemberState.LEAVING, MemberState.GONE))


@attrs.frozen(kw_only=True)
class FleetView:
    """What the rules on servers ask of the other entry hosts.

    Attributes:
        find_sponsor: Gives a starting server's sponsor.
        is_sponsor: Tells whether this host is a server's sponsor.
        is_alone: Tells whether no other entry host is listed.
        count_elsewhere: Tells the calls of other hosts at a server.
        tell_peers: Wakes the heartbeats.
        wants: The starting servers that this host has calls for.
    """

    find_sponsor: Callable[[ServerId], HostId | None]
    is_sponsor: Callable[[ServerId], bool]
    is_alone: Callable[[], bool]
    count_elsewhere: Callable[[ServerId], int]
    tell_peers: Callable[[], None]
    wants: WantedServers


def make_fleet_view(table: MemberTable, timers: Timers) -> FleetView:
    """Make the view of the other entry hosts.

    The sponsor of a starting server is the first, in its own order, of the
    listed hosts that have calls for it, as long as this host reaches all of
    them; else the first of all listed hosts. While some two hosts do not reach
    each other there may be one sponsor by either rule: two at most.

    Args:
        table: The members, as this host knows them.
        timers: Tells how long a host has been silent.
    """
    wants = WantedServers(timers)

    def choose_sponsor(server: ServerId) -> HostId | None:
        peers = list(_list_sponsoring(table, timers))
        fit = peers if table.leaving else [table.own.host, *peers]
        wanting = _list_wanting(table, server)
        if wants.is_wanted(server):
            wanting.add(table.own.host)
        if _are_reachable(table, peers):
            fit = [host for host in fit if host in wanting] or fit
        return choose_first(fit, f'server {server}')

    sponsors = ExpiringCache(
        compute=choose_sponsor, max_age=SPONSOR_AGE, timers=timers
    )

    def count_elsewhere(server: ServerId) -> int:
        return sum(
            load.in_flight
            for heartbeat in _list_heartbeats(table, timers)
            for load in heartbeat.loads
            if load.server == server
        )

    def tell_peers() -> None:
        for member in table.peers.values():
            member.wake.notify()

    return FleetView(
        find_sponsor=sponsors.get,
        is_sponsor=lambda server: sponsors.get(server) == table.own.host,
        is_alone=lambda: (
            not any(member.listed for member in table.peers.values())
        ),
        count_elsewhere=count_elsewhere,
        tell_peers=tell_peers,
        wants=wants,
    )


def _list_sponsoring(table: MemberTable, timers: Timers) -> Iterator[HostId]:
    oldest = timers.now() - SILENT_FOR_LONG
    for host, member in table.peers.items():
        life = member.life
        heard_at = member.known_since if life is None else life.heard_at
        stopping = member.place.leaving or member.state in STOPPING
        if member.listed and not stopping and heard_at >= oldest:
            yield host


def _list_wanting(table: MemberTable, server: ServerId) -> set[HostId]:
    wanting = set()
    for host, member in table.peers.items():
        if member.life and server in member.life.newest.wants:
            wanting.add(host)
    return wanting


def _are_reachable(table: MemberTable, hosts: list[HostId]) -> bool:
    # A peer that is reachable has heard this host within the silence that is
    # borne, which is shorter than a new sponsor waits: it knows what this host
    # wants, and has stepped back.
    states = [table.peers[host].state for host in hosts]
    return all(state is MemberState.REACHABLE for state in states)


def _list_heartbeats(table: MemberTable, timers: Timers) -> Iterator[Heartbeat]:
    oldest = timers.now() - SILENT_FOR_LONG
    for member in table.peers.values():
        if member.life is not None and member.life.heard_at >= oldest:
            yield member.life.newest
