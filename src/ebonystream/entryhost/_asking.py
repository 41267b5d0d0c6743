"""Asking other hosts for what they have read from the store."""

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Incarnation, Monotonic, Seconds
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._following import take_entries, take_orders
from ebonystream.entryhost._parts import HostParts
from ebonystream.gossip import (
    FetchShared,
    HostFacts,
    SharedEntries,
    SharedRequest,
    SharedResponse,
)

ASK_PERIOD = Seconds(0.35)
"""How often the speaker of the zone is asked."""

ASK_TIMEOUT = Seconds(0.3)
STALE_AFTER = Seconds(1.5)
"""The age of its news from which a host asks any other one."""

NO_SOURCE = Incarnation('')


async def ask_peers(parts: HostParts, ask: FetchShared) -> None:
    """Ask the zone's speaker, or any host when news are stale, for ever.

    Args:
        parts: The state of the host.
        ask: Asks a host.
    """
    speaker = Dependency('speaker of the zone', parts.note, parts.timers)
    known = SharedRequest(parts.orders.end, NO_SOURCE, 0)
    while True:
        with trio.move_on_after(ASK_PERIOD):
            await parts.news.wait()
        host = _choose_host(parts, parts.timers.now())
        if host is None:
            continue
        shared = await _ask_in_time(parts, ask, host, known)
        if shared is None:
            speaker.lose(f'{host.host}: no answer')
            continue
        speaker.regain()
        known = _take_shared(parts, shared, known, parts.timers.now())


def _choose_host(parts: HostParts, now: Monotonic) -> HostFacts | None:
    """Choose whom to ask; None where nobody has to be asked."""
    told = _take_news(parts)
    if told is not None:
        return told
    speaker = parts.facts.find_leader(parts.settings.zone, now)
    own = parts.settings.name
    if not _is_stale(parts, now):
        return None if speaker is None or speaker.host == own else speaker
    others = parts.facts.list_peers(now)
    alive = [one for one in parts.facts.list_alive(now) if one.host != own]
    return parts.random.choice(alive or others) if others else None


def _take_news(parts: HostParts) -> HostFacts | None:
    """Give the host that knows newer orders, once."""
    source = parts.news_from
    parts.news_from = None
    parts.news = trio.Event()
    if source is None or source.orders_end <= parts.orders.end:
        return None
    return source


def _is_stale(parts: HostParts, now: Monotonic) -> bool:
    listed = parts.roster.last_listed_at
    unread = listed is None or parts.orders.listing is None
    return unread or now - (listed or 0) > STALE_AFTER


async def _ask_in_time(
    parts: HostParts, ask: FetchShared, host: HostFacts, known: SharedRequest
) -> SharedResponse | None:
    port = parts.settings.peers.port + 1
    with trio.move_on_after(ASK_TIMEOUT):
        return await ask(ServerAddress(host.address, port), known)
    return None


def _take_shared(
    parts: HostParts,
    shared: SharedResponse,
    known: SharedRequest,
    now: Monotonic,
) -> SharedRequest:
    """Take over what a host shared; give what is known of it from now on."""
    edition = known.revision if known.source == shared.source else 0
    if shared.orders is not None:
        read = Monotonic(now - shared.orders.age)
        parts.orders.confirm(read)
        if shared.orders.listing is not None:
            take_orders(parts, shared.orders.listing, read)
    if shared.entries is not None:
        read = Monotonic(now - shared.entries.age)
        if _take_shared_entries(parts, shared.entries, read):
            edition = shared.entries.revision
    return SharedRequest(parts.orders.end, shared.source, edition)


def _take_shared_entries(
    parts: HostParts, shared: SharedEntries, read: Monotonic
) -> bool:
    """Take entries over; tell whether they are newer than what was known."""
    listed = parts.roster.last_listed_at
    if listed is not None and read <= listed:
        return False
    if shared.entries is None:
        parts.roster.confirm_listing(read)
    else:
        take_entries(parts, shared.entries, read)
    return True
