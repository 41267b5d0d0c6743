"""Entry hosts that run only membership, on an in-memory network."""

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


def make_empty_contents() -> HeartbeatContents:
    """Return the heartbeat contents of a host without load."""
    return HeartbeatContents()


@attrs.define(kw_only=True)
class MemberHost:
    """One incarnation of an entry host.

    Attributes:
        exchange: Exchanges messages with the peers.
        membership: View of the peers.
        links: Sends heartbeats and manages connections to the peers.
        states: States that the host shares with its peers as snapshots.
        scope: Cancelling it stops the host.
    """

    exchange: Exchange
    membership: Membership
    links: HeartbeatLinks
    states: tuple[SharedState, ...] = ()
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Run the host until its scope is cancelled."""
        handlers = Handlers(
            respond_to_call=decline_call,
            respond_to_snapshot_request=make_snapshot_handler(self.states),
            on_heartbeat=self.receive_heartbeat,
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.exchange.run, handlers)
                nursery.start_soon(send_heartbeats, self.membership, self.links)
                for state in self.states:
                    nursery.start_soon(
                        catch_up, state, self._make_snapshot_sources()
                    )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the membership from a received heartbeat."""
        now = self.links.timers.now()
        self.membership.receive_heartbeat(heartbeat, now)

    def _make_snapshot_sources(self) -> SnapshotSources:
        return SnapshotSources(
            table=self.membership.table,
            request=self.exchange.send_request,
            timers=self.links.timers,
            random=self.links.random,
        )


async def decline_call(sender: HostId, call: ForwardedCall) -> None:
    """Decline every forwarded call."""


def make_member_host(
    host: HostId, incarnation: Incarnation, transport: Transport, random: Random
) -> MemberHost:
    """Make one incarnation of an entry host.

    Args:
        host: Name of the host.
        incarnation: Id of the incarnation.
        transport: Sends and receives its messages.
        random: Source of its random decisions.
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
    identity = Identity(host=host, incarnation=incarnation, zone=ZONE)
    return MemberHost(
        exchange=exchange,
        membership=Membership(
            table=MemberTable(local=identity),
            base_timing=PACE,
            heartbeats_per_second=HEARTBEATS_PER_SECOND,
        ),
        links=HeartbeatLinks(
            send=exchange.send_heartbeat,
            connect=transport.connect,
            disconnect=transport.disconnect,
            make_contents=make_empty_contents,
            timers=Timers(0),
            random=random,
        ),
    )


@attrs.define(kw_only=True)
class MemberHosts:
    """All entry hosts, and the host list.

    Attributes:
        network: Network between the hosts.
        nursery: Nursery in which the hosts run.
        random: Source of the seeds of the hosts.
        hosts: The running hosts.
        listed: The entries of the host list.
        start_count: Number of incarnations started so far.
    """

    network: Network
    nursery: trio.Nursery
    random: Random
    hosts: dict[HostId, MemberHost] = attrs.field(factory=dict)
    listed: dict[HostId, ListedPeer] = attrs.field(factory=dict)
    start_count: int = 0

    def start(self, host: HostId) -> MemberHost:
        """Start the next incarnation of a host; the previous one is stopped.

        Args:
            host: Name of the host.
        """
        self.kill(host)
        self.start_count += 1
        member_host = make_member_host(
            host,
            Incarnation(f'{host}.{self.start_count}'),
            self.network.open_transport(host),
            Random(self.random.random()),
        )
        self.hosts[host] = member_host
        self.nursery.start_soon(member_host.run)
        now = member_host.links.timers.now()
        member_host.membership.apply_host_list(self.listed.values(), now)
        return member_host

    def kill(self, host: HostId) -> None:
        """Stop a host abruptly, if it is running.

        Args:
            host: Name of the host.
        """
        member_host = self.hosts.pop(host, None)
        if member_host is not None:
            self.network.close(host)
            member_host.scope.cancel()

    def set_host_list(self, *hosts: HostId) -> None:
        """Replace the host list, and apply it at every running host.

        Args:
            hosts: Names of the listed hosts.
        """
        self.listed = {
            host: ListedPeer(host=host, address='127.0.0.1', port=1, zone=ZONE)
            for host in hosts
        }
        self.apply_host_list()

    def apply_host_list(self) -> None:
        """Apply the host list at every running host."""
        for member_host in self.hosts.values():
            now = member_host.links.timers.now()
            member_host.membership.apply_host_list(self.listed.values(), now)
