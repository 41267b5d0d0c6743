"""Wires the membership: its tasks, what it is told, and what it tells."""

from collections.abc import Callable, Iterable
from random import Random

import msgspec
import trio

from ebonystream._cache import ExpiringCache
from ebonystream._ids import HostId, Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.composition._parts import Parts
from ebonystream.composition._policy import take_policy_report
from ebonystream.composition._serverwords import (
    fill_server_words,
    take_server_words,
)
from ebonystream.composition._slots import make_note_taker
from ebonystream.logservice import HostRole, HostState, ListedHost
from ebonystream.membership import (
    FillHeartbeat,
    HeartbeatContents,
    Helpers,
    Links,
    ListedPeer,
    LoadRevisions,
    SharedState,
    catch_up,
    make_fetch_answer,
    watch_members,
)
from ebonystream.peer import AnswerCall, Handlers, Heartbeat

TakeHeartbeat = Callable[[Heartbeat], None]

CONTENTS_AGE = Seconds(10 / MS_PER_SECOND)
"""How old the contents of a heartbeat may be when it is sent."""


async def keep_peers(parts: Parts, answer_call: AnswerCall) -> None:
    """Keep up with the other entry hosts, for ever.

    Args:
        parts: The parts of this host.
        answer_call: Answers calls that peers forward.
    """
    await run_peers(
        parts,
        answer_call=answer_call,
        states=(share_control(parts), share_keys(parts)),
    )


async def run_peers(
    parts: Parts, *, answer_call: AnswerCall, states: tuple[SharedState, ...]
) -> None:
    """Talk with the other entry hosts, for ever.

    Args:
        parts: The parts of this host.
        answer_call: Answers calls that peers forward.
        states: What is shared with peers by snapshots.
    """
    handlers = Handlers(
        answer_call=answer_call,
        answer_fetch=make_fetch_answer(states),
        take_heartbeat=_make_take(parts),
        take_note=make_note_taker(parts.policy.registry, parts.settings),
    )
    helpers = Helpers(
        table=parts.peers.membership.table,
        ask=parts.peers.exchange.ask,
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(parts.peers.exchange.run, handlers)
        nursery.start_soon(
            watch_members, parts.peers.membership, _make_links(parts)
        )
        nursery.start_soon(_announce_leaving, parts)
        for state in states:
            nursery.start_soon(catch_up, state, helpers)


def share_control(parts: Parts) -> SharedState:
    """Share the control state with peers."""
    return SharedState(
        stream=parts.settings.log.control_stream,
        get_next=lambda: parts.control.next_offset,
        read_next=lambda heartbeat: heartbeat.control_next,
        take=parts.control.take_snapshot,
        restore=parts.control.restore,
    )


def share_keys(parts: Parts) -> SharedState:
    """Share the ownership of keys with peers."""
    grants = parts.grants

    def restore(snapshot: bytes) -> bool:
        try:
            return grants.restore(snapshot)
        except (msgspec.MsgspecError, RecursionError):
            return False

    return SharedState(
        stream=parts.settings.log.keys_stream,
        get_next=lambda: grants.next_offset,
        read_next=lambda heartbeat: heartbeat.keys_next,
        take=grants.take_snapshot,
        restore=restore,
    )


def replace_listed(parts: Parts, listed: Iterable[ListedHost]) -> None:
    """Take over a reading of the host list."""
    entries = tuple(host for host in listed if host.role is HostRole.ENTRY)
    if any(host.name == parts.settings.host.id for host in entries):
        parts.listed.set()
    parts.peers.membership.replace_listed(
        map(_convert_entry, entries), parts.timers.now()
    )


def _make_links(parts: Parts) -> Links:
    return Links(
        send=parts.peers.exchange.send_heartbeat,
        connect=parts.peers.transport.connect,
        disconnect=parts.peers.transport.disconnect,
        fill=_make_fill(parts),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )


def _make_fill(parts: Parts) -> FillHeartbeat:
    revisions = LoadRevisions(parts.policy.registry.report_slots)

    def fill(own: HostId) -> HeartbeatContents:
        contents = msgspec.structs.replace(
            fill_server_words(parts.server_rules),
            control_next=parts.control.next_offset,
            keys_next=parts.grants.next_offset,
            zones_in_flight=dict(parts.zones_in_flight.calls),
            demands=parts.policy.guarantees.report(),
        )
        return revisions.fill(contents)

    # Heartbeats to all peers go out together and say the same.
    contents = ExpiringCache(
        compute=fill, max_age=CONTENTS_AGE, timers=parts.timers
    )
    return lambda: contents.get(parts.settings.host.id)


def _make_take(parts: Parts) -> TakeHeartbeat:
    lives: dict[HostId, Incarnation] = {}
    rules = parts.server_rules

    def take(sent: Heartbeat) -> None:
        now = parts.timers.now()
        heartbeat = parts.peers.membership.take_heartbeat(sent, now)
        if heartbeat is None:
            return
        take_server_words(rules, heartbeat)
        take_policy_report(parts.policy, heartbeat)
        if lives.get(heartbeat.host) != heartbeat.incarnation:
            lives[heartbeat.host] = heartbeat.incarnation
            rules.standings.include_all()

    return take


async def _announce_leaving(parts: Parts) -> None:
    await parts.stopping.wait()
    parts.peers.membership.leave()


def _convert_entry(host: ListedHost) -> ListedPeer:
    return ListedPeer(
        host=HostId(host.name),
        address=host.address,
        port=host.port,
        zone=host.zone,
        leaving=host.state is HostState.LEAVING,
    )
