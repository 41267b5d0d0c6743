"""Entry hosts that only keep their membership, on a network in memory."""

from random import Random

import attrs
import trio

from ebonystream._ids import HostId, Incarnation, Seconds, ZoneName
from ebonystream._timers import Timers
from ebonystream.membership import (
    HeartbeatContents,
    HeartbeatLinks,
    HeartbeatTiming,
    Identity,
    ListedPeer,
    Membership,
    MemberTable,
    SharedState,
    SnapshotSources,
    catch_up,
    make_snapshot_handler,
    send_heartbeats,
)
from ebonystream.peer import (
    Exchange,
    ExchangeLimits,
    ForwardedCall,
    Handlers,
    Heartbeat,
    PendingRequests,
    Transport,
)
from standins.network import Network

ZONE = ZoneName('zone')
PACE = HeartbeatTiming(period=Seconds(0.25), timeout=Seconds(1.5))
HEARTBEATS_PER_SECOND = 32
MAX_MESSAGE_BYTES = 65_536
MAX_REQUESTS = 16


def read_nothing() -> HeartbeatContents:
    """Give the contents of a host that does no work."""
    return HeartbeatContents()


@attrs.define(kw_only=True)
class MemberHost:
    """One run of an entry host.

    Attributes:
        exchange: Talks with its peers.
        membership: What it knows of them.
        links: The ways to them.
        states: What it shares with them.
        scope: Ends it.
    """

    exchange: Exchange
    membership: Membership
    links: HeartbeatLinks
    states: tuple[SharedState, ...] = ()
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Keep the membership until it is ended."""
        handlers = Handlers(
            respond_to_call=decline,
            respond_to_snapshot_request=make_snapshot_handler(self.states),
            on_heartbeat=self.take_heartbeat,
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.exchange.run, handlers)
                nursery.start_soon(send_heartbeats, self.membership, self.links)
                for state in self.states:
                    nursery.start_soon(catch_up, state, self._list_helpers())

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Learn from a heartbeat."""
        now = self.links.timers.now()
        self.membership.receive_heartbeat(heartbeat, now)

    def _list_helpers(self) -> SnapshotSources:
        return SnapshotSources(
            table=self.membership.table,
            request=self.exchange.send_request,
            timers=self.links.timers,
            random=self.links.random,
        )


async def decline(sender: HostId, call: ForwardedCall) -> None:
    """Give no answer to a call."""


def make_member_host(
    host: HostId, incarnation: Incarnation, transport: Transport, random: Random
) -> MemberHost:
    """Make one run of an entry host.

    Args:
        host: Names the host.
        incarnation: Names the run.
        transport: Carries its messages.
        random: Decides what it leaves to chance.
    """
    exchange = Exchange(
        host=host,
        incarnation=incarnation,
        transport=transport,
        limits=ExchangeLimits(
            max_message_bytes=MAX_MESSAGE_BYTES, max_requests=MAX_REQUESTS
        ),
        pending_requests=PendingRequests(random),
    )
    own = Identity(host=host, incarnation=incarnation, zone=ZONE)
    return MemberHost(
        exchange=exchange,
        membership=Membership(
            table=MemberTable(local=own),
            base_timing=PACE,
            heartbeats_per_second=HEARTBEATS_PER_SECOND,
        ),
        links=HeartbeatLinks(
            send=exchange.send_heartbeat,
            connect=transport.connect,
            disconnect=transport.disconnect,
            make_contents=read_nothing,
            timers=Timers(0),
            random=random,
        ),
    )


@attrs.define(kw_only=True)
class MemberHosts:
    """Every entry host, and the host list that names them.

    Attributes:
        network: The links between the hosts.
        nursery: Runs the hosts.
        random: Decides what is left to chance.
        hosts: The hosts that run now.
        listed: The hosts that the list names.
        started: Counts the runs.
    """

    network: Network
    nursery: trio.Nursery
    random: Random
    hosts: dict[HostId, MemberHost] = attrs.field(factory=dict)
    listed: dict[HostId, ListedPeer] = attrs.field(factory=dict)
    started: int = 0

    def start(self, host: HostId) -> MemberHost:
        """Start a host, or its next run in place of the last.

        Args:
            host: Names the host.
        """
        self.kill(host)
        self.started += 1
        run = make_member_host(
            host,
            Incarnation(f'{host}.{self.started}'),
            self.network.open_transport(host),
            Random(self.random.random()),
        )
        self.hosts[host] = run
        self.nursery.start_soon(run.run)
        now = run.links.timers.now()
        run.membership.apply_host_list(self.listed.values(), now)
        return run

    def kill(self, host: HostId) -> None:
        """End a host at once.

        Args:
            host: Names the host.
        """
        run = self.hosts.pop(host, None)
        if run is not None:
            self.network.close(host)
            run.scope.cancel()

    def list_hosts(self, *hosts: HostId) -> None:
        """Make the host list name these hosts, and let each host read it.

        Args:
            hosts: Names the hosts.
        """
        self.listed = {
            host: ListedPeer(host=host, address='127.0.0.1', port=1, zone=ZONE)
            for host in hosts
        }
        self.read_list()

    def read_list(self) -> None:
        """Let each host read the host list."""
        for run in self.hosts.values():
            now = run.links.timers.now()
            run.membership.apply_host_list(self.listed.values(), now)
