"""Counting of requests, and their collection by the holder of the duty."""

import zlib

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Seconds
from ebonystream.dispatch import Attempt
from ebonystream.duty import Role
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._usage import Relay, UsageReporting
from ebonystream.gossip import SendCounts
from ebonystream.request import Request
from ebonystream.route import Route
from ebonystream.usage import CountsMessage, CountsReply

SEND_CHECK_PERIOD = Seconds(0.2)
"""How often a host checks whether it has to send counts, in seconds."""

SEND_TIMEOUT = Seconds(0.6)
"""Timeout of sending one message, in seconds."""

LAST_SEND_TIMEOUT = Seconds(0.25)
"""Timeout of the last send of a host that shuts down, in seconds: it has to
fit into the margin that is left then."""

ORPHAN_SILENCE = Seconds(1.2)
"""Silence of a host after which what it had sent is passed on, in seconds. It
is harmless if the host is alive."""

SPREAD_STEPS = 100


def count_attempt_usage(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Count a request with its first attempt that a server may have run.

    It counts in the window in which that attempt began, also if its response
    was lost.

    Args:
        parts: The state of the host.
        request: The request of the attempt.
        route: The route of the request.
        attempt: The attempt, after its end.
    """
    usage = parts.usage
    if usage is None or request.workspace is None or attempt.is_not_run():
        return
    if not usage.counted_requests.add(request):
        return
    clock = usage.schedule.clock
    began_at = clock.read(parts.timers.boot_now()) - attempt.duration
    usage.counted.add(clock.get_window(began_at), request.workspace)


def take_counts(
    parts: HostParts, usage: UsageReporting, message: CountsMessage
) -> CountsReply:
    """Take the counts of another host.

    Args:
        parts: The state of this host.
        usage: The state of usage reporting.
        message: The counts.
    """
    received_at = usage.schedule.clock.read(parts.timers.boot_now())
    if not usage.collected.merge(message, received_at):
        parts.log_event('usage_counts_refused', host=message.host)
        return CountsReply(collecting=False)
    # The holder sends its own counts to its deputy.
    if usage.role is not Role.HOLDER:
        return CountsReply(collecting=message.host == usage.elected)
    return CountsReply(
        collecting=True,
        clock_error=usage.collected.compute_sender_error(message),
    )


async def send_counts(
    parts: HostParts, usage: UsageReporting, send: SendCounts
) -> None:
    """Send the counts to the holder of the duty at their times; never return.

    Args:
        parts: The state of the host.
        usage: The state of usage reporting.
        send: Sends counts to a host.
    """
    spread = _compute_spread(parts.settings.name)
    send_at: float = 0
    told: HostId | None = None
    async for _ in parts.timers.subscribe(period=SEND_CHECK_PERIOD):
        now = usage.schedule.clock.read(parts.timers.boot_now())
        usage.drop_reported(parts.timers.boot_now())
        target = usage.elected
        if target is None or (now < send_at and target == told):
            continue
        sent = False
        with trio.move_on_after(SEND_TIMEOUT):
            sent = await _send_to(parts, usage, target, send)
        parts.metrics.usage_sends.increment('taken' if sent else 'failed')
        if sent:
            told = target
            send_at = usage.schedule.get_next_send(now, spread)
            with trio.move_on_after(SEND_TIMEOUT):
                await _relay_orphans(parts, usage, target, send)


async def send_last_counts(
    parts: HostParts, usage: UsageReporting, send: SendCounts
) -> None:
    """Send what is left before this host exits.

    Args:
        parts: The state of the host.
        usage: The state of usage reporting.
        send: Sends counts to a host.
    """
    sent = False
    target = usage.elected
    with trio.move_on_after(LAST_SEND_TIMEOUT):
        if target is not None:
            sent = await _send_to(parts, usage, target, send)
            await _relay_orphans(parts, usage, target, send)
    parts.log_event(
        'usage_last_counts',
        to=target,
        sent=sent,
        unreported=usage.counted.count_unreported(),
    )


async def _send_to(
    parts: HostParts, usage: UsageReporting, target: HostId, send: SendCounts
) -> bool:
    """Send all untold counts to a host; return whether it took them."""
    now = parts.timers.boot_now()
    if target == parts.settings.name:
        usage.collect_own(now)
        if usage.deputy is None:
            return True
        return await _send_to(parts, usage, usage.deputy, send)
    at = find_counts_endpoint(parts, target)
    if at is None:
        return False
    untold = usage.counted.list_untold(target)
    for index, part in enumerate(untold.parts, start=1):
        message = usage.make_message(
            now, part, complete=index == len(untold.parts)
        )
        reply = await send(at, message)
        if reply is None or not reply.collecting:
            return False
        _correct_clock(parts, usage, reply.clock_error)
    usage.counted.mark_told(target, untold)
    return True


async def _relay_orphans(
    parts: HostParts, usage: UsageReporting, target: HostId, send: SendCounts
) -> None:
    """Send the holder what silent hosts had sent to this one.

    Addresses a duty that moves on soon after the loss of a host.
    """
    at = find_counts_endpoint(parts, target)
    if at is None or target == parts.settings.name:
        return
    heard = parts.facts.list_alive(parts.timers.now(), timeout=ORPHAN_SILENCE)
    excluded = {(facts.host, facts.incarnation) for facts in heard}
    excluded.add((usage.duty.name, usage.duty.incarnation))
    for message in usage.collected.list_orphans(excluded):
        part = message.windows[0]
        relay = Relay(
            target,
            message.host,
            message.incarnation,
            part.window,
            next(iter(part.counts)),
        )
        if relay in usage.relayed:
            continue
        reply = await send(at, message)
        if reply is None or not reply.collecting:
            return
        usage.relayed.add(relay)


def find_counts_endpoint(
    parts: HostParts, name: HostId
) -> ServerAddress | None:
    """Return the address at which a host takes counts; None if unknown.

    Args:
        parts: The state of this host.
        name: Name of the host.
    """
    peers = parts.facts.list_peers(parts.timers.now())
    addresses = [facts.address for facts in peers if facts.host == name]
    if not addresses:
        return None
    port = parts.settings.peer_endpoint.port + 1
    return ServerAddress(addresses[0], port)


def _correct_clock(
    parts: HostParts, usage: UsageReporting, error: Seconds
) -> None:
    if usage.schedule.clock.correct(Seconds(-error)):
        parts.log_event('usage_clock_corrected', was_ahead_s=error)


def _compute_spread(name: HostId) -> float:
    return zlib.crc32(name.encode()) % SPREAD_STEPS / SPREAD_STEPS
