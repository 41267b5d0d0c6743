"""Sharing what was read from the store with hosts that did not read it."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Incarnation, Monotonic, Offset, Seconds
from ebonystream._timers import Timers
from ebonystream.http1 import Message, spell_request, spell_response
from ebonystream.ingress import Presence, Respond, Spoken
from ebonystream.link import Exchange, Refused
from ebonystream.orders import Orders, OrdersListing
from ebonystream.roster import Roster, ServerEntry

OK = 200
BAD_REQUEST = 400
TARGET = b'/shared'


class Known(msgspec.Struct, frozen=True, array_like=True):
    """What the asking host knows already.

    Attributes:
        orders_end: The offset up to which it knows the orders.
        source: The run of the host that it last asked.
        edition: The edition of the entries that it had from that host.
    """

    orders_end: Offset
    source: Incarnation
    edition: int


class SharedOrders(msgspec.Struct, frozen=True, array_like=True):
    """The orders, as one host knows them.

    Attributes:
        age: How long ago they were confirmed by the store, in seconds.
        listing: All orders; None where the asking host knows them.
    """

    age: Seconds
    listing: OrdersListing | None


class SharedEntries(msgspec.Struct, frozen=True, array_like=True):
    """The entries of the servers, as one host knows them.

    Attributes:
        age: How long ago they were read, in seconds.
        edition: Counts their changes in this run of the host.
        entries: All entries; None where the asking host knows them.
    """

    age: Seconds
    edition: int
    entries: tuple[ServerEntry, ...] | None


class Shared(msgspec.Struct, frozen=True, array_like=True):
    """What one host shares.

    Attributes:
        source: Its run.
        orders: The orders; None where it never read any.
        entries: The entries; None where it never read any.
    """

    source: Incarnation
    orders: SharedOrders | None
    entries: SharedEntries | None


AskShared = Callable[[ServerAddress, Known], Awaitable[Shared | None]]
"""Asks a host for what it knows; None where it doesn't answer."""


def make_sharing(
    *, orders: Orders, roster: Roster, source: Incarnation, timers: Timers
) -> Respond:
    """Make the function that answers other hosts.

    Args:
        orders: The orders that are known here.
        roster: The servers that are known here.
        source: The run of this host.
        timers: Tells how old they are.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: Presence
    ) -> Spoken:
        try:
            known = msgspec.msgpack.decode(message.body, type=Known)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return Spoken(spell_response(BAD_REQUEST, (), b''), True)
        shared = Shared(
            source=source,
            orders=_share_orders(orders, known, arrived),
            entries=_share_entries(roster, known, source, arrived),
        )
        body = msgspec.msgpack.encode(shared)
        return Spoken(spell_response(OK, (), body), not message.keep_alive)

    return respond


def make_ask_shared(*, exchange: Exchange) -> AskShared:
    """Make the function that asks another host.

    Args:
        exchange: Exchanges on kept connections.
    """

    async def ask(at: ServerAddress, known: Known) -> Shared | None:
        host = f'{at.address}:{at.port}'.encode()
        request = spell_request(
            b'POST', TARGET, ((b'host', host),), msgspec.msgpack.encode(known)
        )
        reply = await exchange(at, request, _is_any)
        if isinstance(reply, Refused) or reply.status != OK:
            return None
        try:
            return msgspec.msgpack.decode(reply.body, type=Shared)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None

    return ask


def _is_any(headers: Headers) -> bool:
    return True


def _share_orders(
    orders: Orders, known: Known, now: Monotonic
) -> SharedOrders | None:
    if orders.read is None or orders.listing is None:
        return None
    news = orders.end > known.orders_end
    return SharedOrders(
        age=Seconds(now - orders.read),
        listing=orders.listing if news else None,
    )


def _share_entries(
    roster: Roster, known: Known, source: Incarnation, now: Monotonic
) -> SharedEntries | None:
    if roster.listed is None:
        return None
    same = known.source == source and known.edition == roster.edition
    return SharedEntries(
        age=Seconds(now - roster.listed),
        edition=roster.edition,
        entries=None if same else roster.entries,
    )
