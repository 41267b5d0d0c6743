"""Wiring of the membership: its tasks, heartbeats and shared states."""

from collections.abc import Callable, Iterable
from random import Random

import msgspec
import trio

from ebonystream._cache import ExpiringCache
from ebonystream._ids import HostId, Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.composition._parts import Parts
from ebonystream.composition._policy import record_peer_report
from ebonystream.composition._server_contents import (
    apply_server_contents,
    make_server_contents,
)
from ebonystream.composition._slots import make_handle_slot_message
from ebonystream.logservice import HostRole, HostState, ListedHost
from ebonystream.membership import (
    HeartbeatContents,
    HeartbeatLinks,
    ListedPeer,
    LoadRevisions,
    MakeHeartbeatContents,
    SharedState,
    SnapshotSources,
    catch_up,
    make_snapshot_handler,
    send_heartbeats,
)
from ebonystream.peer import Handlers, Heartbeat, RespondToCall

OnHeartbeat = Callable[[Heartbeat], None]

MAX_CONTENTS_AGE = Seconds(10 / MS_PER_SECOND)
"""Maximum age of the contents of a heartbeat when it is sent."""


async def run_peer_tasks(parts: Parts, respond_to_call: RespondToCall) -> None:
    """Run the tasks that communicate with peers until cancelled.

    Args:
        parts: The parts of this host.
        respond_to_call: Responds to a call that a peer forwards.
    """
    await _exchange_with_peers(
        parts,
        respond_to_call=respond_to_call,
        states=(make_shared_control(parts), make_shared_ownership(parts)),
    )


async def _exchange_with_peers(
    parts: Parts,
    *,
    respond_to_call: RespondToCall,
    states: tuple[SharedState, ...],
) -> None:
    """Exchange heartbeats, requests and snapshots with peers until cancelled.

    Args:
        parts: The parts of this host.
        respond_to_call: Responds to a call that a peer forwards.
        states: The states that a host restores from snapshots of peers.
    """
    handlers = Handlers(
        respond_to_call=respond_to_call,
        respond_to_snapshot_request=make_snapshot_handler(states),
        on_heartbeat=_make_handle_heartbeat(parts),
        on_slot_message=make_handle_slot_message(
            parts.policy.slot_registry, parts.settings
        ),
    )
    snapshot_sources = SnapshotSources(
        table=parts.peers.membership.table,
        request=parts.peers.exchange.send_request,
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parts.peers.exchange.run, handlers)
        nursery.start_soon(
            send_heartbeats, parts.peers.membership, _make_links(parts)
        )
        nursery.start_soon(_announce_leaving, parts)
        for state in states:
            nursery.start_soon(catch_up, state, snapshot_sources)


def make_shared_control(parts: Parts) -> SharedState:
    """Make the control state that is shared with peers as snapshots."""
    return SharedState(
        stream=parts.settings.log.control_stream,
        get_next_offset=lambda: parts.control.next_offset,
        read_next_offset=lambda heartbeat: heartbeat.control_next,
        encode=parts.control.take_snapshot,
        restore=parts.control.restore,
    )


def make_shared_ownership(parts: Parts) -> SharedState:
    """Make the ownership of keys that is shared with peers as snapshots."""
    ownership_table = parts.ownership_table

    def restore(snapshot: bytes) -> bool:
        try:
            return ownership_table.restore(snapshot)
        except (msgspec.MsgspecError, RecursionError):
            return False

    return SharedState(
        stream=parts.settings.log.keys_stream,
        get_next_offset=lambda: ownership_table.next_offset,
        read_next_offset=lambda heartbeat: heartbeat.keys_next,
        encode=ownership_table.take_snapshot,
        restore=restore,
    )


def update_listed_hosts(parts: Parts, listed: Iterable[ListedHost]) -> None:
    """Update the membership from the host list.

    Args:
        parts: The parts of this host.
        listed: All hosts in the list; those other than entry hosts are ignored.
    """
    entry_hosts = tuple(host for host in listed if host.role is HostRole.ENTRY)
    if any(host.name == parts.settings.host.id for host in entry_hosts):
        parts.listed.set()
    parts.peers.membership.apply_host_list(
        map(_convert_entry_host, entry_hosts), parts.timers.now()
    )


def _make_links(parts: Parts) -> HeartbeatLinks:
    return HeartbeatLinks(
        send=parts.peers.exchange.send_heartbeat,
        connect=parts.peers.transport.connect,
        disconnect=parts.peers.transport.disconnect,
        make_contents=_make_cached_contents(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )


def _make_cached_contents(parts: Parts) -> MakeHeartbeatContents:
    revisions = LoadRevisions(parts.policy.slot_registry.report_slots)

    def make_contents(host: HostId) -> HeartbeatContents:
        contents = msgspec.structs.replace(
            make_server_contents(parts.server_rules),
            control_next=parts.control.next_offset,
            keys_next=parts.ownership_table.next_offset,
            zones_in_flight=dict(parts.zones_in_flight.calls),
            demands=parts.policy.guaranteed_rates.report(),
        )
        return revisions.add_loads(contents)

    # Heartbeats to all peers are sent together and have the same contents.
    contents_cache = ExpiringCache(
        compute=make_contents, max_age=MAX_CONTENTS_AGE, timers=parts.timers
    )
    return lambda: contents_cache.get(parts.settings.host.id)


def _make_handle_heartbeat(parts: Parts) -> OnHeartbeat:
    incarnations: dict[HostId, Incarnation] = {}
    rules = parts.server_rules

    def handle_heartbeat(received: Heartbeat) -> None:
        now = parts.timers.now()
        heartbeat = parts.peers.membership.receive_heartbeat(received, now)
        if heartbeat is None:
            return
        apply_server_contents(rules, heartbeat)
        record_peer_report(parts.policy, heartbeat)
        if incarnations.get(heartbeat.host) != heartbeat.incarnation:
            incarnations[heartbeat.host] = heartbeat.incarnation
            rules.standing_exchange.include_all()

    return handle_heartbeat


async def _announce_leaving(parts: Parts) -> None:
    await parts.stopping.wait()
    parts.peers.membership.leave()


def _convert_entry_host(host: ListedHost) -> ListedPeer:
    return ListedPeer(
        host=HostId(host.name),
        address=host.address,
        port=host.port,
        zone=host.zone,
        leaving=host.state is HostState.LEAVING,
    )
