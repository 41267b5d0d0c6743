"""The other entry hosts, as seen by the rules on calls to backend servers."""

from collections.abc import Callable, Iterator

import attrs

from ebonystream._cache import ExpiringCache
from ebonystream._ids import HostId, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import WantedServers
from ebonystream.membership import MemberState, MemberTable, choose_host
from ebonystream.peer import Heartbeat

MAX_SILENCE = Seconds(10)
"""Silence after which a listed host is no sponsor and counts as having no calls
in flight.

Until then hosts agree on the sponsors, as they select them by the host list and
not by the hosts that each of them can reach.
"""

MAX_SPONSOR_AGE = Seconds(0.1)
"""How long a selected sponsor is cached.

This is far less than a new sponsor waits before its first call.
"""

STOPPING_STATES = frozenset((MemberState.LEAVING, MemberState.GONE))


@attrs.frozen(kw_only=True)
class FleetView:
    """The other entry hosts, as seen by the rules on calls to servers.

    Attributes:
        find_sponsor: Returns the sponsor of a starting server; None if there is
            none.
        is_sponsor: Returns whether this host is the sponsor of a server.
        is_alone: Returns whether no other entry host is listed.
        count_in_flight_elsewhere: Returns the number of calls of other entry
            hosts in flight at a server.
        notify_peers: Sends the next heartbeat to each peer at once.
        wanted_servers: The starting servers that this host has calls for.
    """

    find_sponsor: Callable[[ServerId], HostId | None]
    is_sponsor: Callable[[ServerId], bool]
    is_alone: Callable[[], bool]
    count_in_flight_elsewhere: Callable[[ServerId], int]
    notify_peers: Callable[[], None]
    wanted_servers: WantedServers


def make_fleet_view(table: MemberTable, timers: Timers) -> FleetView:
    """Make the view of the other entry hosts.

    The sponsor of a starting server is selected by rendezvous hashing: among
    the listed hosts that have calls for the server, if there are any and this
    host can reach all listed hosts, and otherwise among all listed hosts. While
    some hosts cannot reach each other, both rules may be in use, each with one
    sponsor: a server has two at most.

    Args:
        table: The members known to this host.
        timers: Source of the current time.
    """
    wanted_servers = WantedServers(timers)

    def select_sponsor(server: ServerId) -> HostId | None:
        peers = list(_list_sponsor_candidates(table, timers))
        candidates = peers if table.leaving else [table.local.host, *peers]
        hosts_with_calls = _list_hosts_with_calls(table, server)
        if wanted_servers.is_wanted(server):
            hosts_with_calls.add(table.local.host)
        if _are_reachable(table, peers):
            candidates = [
                host for host in candidates if host in hosts_with_calls
            ] or candidates
        return choose_host(candidates, f'server {server}')

    sponsor_cache = ExpiringCache(
        compute=select_sponsor, max_age=MAX_SPONSOR_AGE, timers=timers
    )

    def count_in_flight_elsewhere(server: ServerId) -> int:
        return sum(
            load.in_flight
            for heartbeat in _list_recent_heartbeats(table, timers)
            for load in heartbeat.loads
            if load.server == server
        )

    def notify_peers() -> None:
        for member in table.peers.values():
            member.wake.notify()

    return FleetView(
        find_sponsor=sponsor_cache.get,
        is_sponsor=lambda server: sponsor_cache.get(server) == table.local.host,
        is_alone=lambda: (
            not any(member.listed for member in table.peers.values())
        ),
        count_in_flight_elsewhere=count_in_flight_elsewhere,
        notify_peers=notify_peers,
        wanted_servers=wanted_servers,
    )


def _list_sponsor_candidates(
    table: MemberTable, timers: Timers
) -> Iterator[HostId]:
    min_received_at = timers.now() - MAX_SILENCE
    for host, member in table.peers.items():
        confirmed = member.confirmed
        received_at = (
            member.first_listed_at
            if confirmed is None
            else confirmed.received_at
        )
        is_stopping = member.listing.leaving or member.state in STOPPING_STATES
        if member.listed and not is_stopping and received_at >= min_received_at:
            yield host


def _list_hosts_with_calls(table: MemberTable, server: ServerId) -> set[HostId]:
    hosts = set()
    for host, member in table.peers.items():
        if member.confirmed and server in member.confirmed.last_heartbeat.wants:
            hosts.add(host)
    return hosts


def _are_reachable(table: MemberTable, hosts: list[HostId]) -> bool:
    # A reachable peer has received a heartbeat of this host within the silence
    # that makes a peer unreachable, which is shorter than the wait of a new
    # sponsor. It thus knows which servers this host has calls for, and has
    # given up the sponsorship if this host was selected.
    states = [table.peers[host].state for host in hosts]
    return all(state is MemberState.REACHABLE for state in states)


def _list_recent_heartbeats(
    table: MemberTable, timers: Timers
) -> Iterator[Heartbeat]:
    min_received_at = timers.now() - MAX_SILENCE
    for member in table.peers.values():
        if (
            member.confirmed is not None
            and member.confirmed.received_at >= min_received_at
        ):
            yield member.confirmed.last_heartbeat
