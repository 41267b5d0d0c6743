"""Sharing what was read from the store with hosts that did not read it."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Incarnation, Monotonic, Offset, Seconds
from ebonystream._timers import Timers
from ebonystream.http1 import Message, encode_request, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse, Respond
from ebonystream.link import Exchange, ExchangeFailure
from ebonystream.orders import Orders, OrdersListing
from ebonystream.roster import Roster, ServerEntry

OK = 200
BAD_REQUEST = 400
SHARED_TARGET = b'/shared'


class SharedRequest(msgspec.Struct, frozen=True, array_like=True):
    """What the asking host knows already.

    Attributes:
        orders_end: The offset up to which it knows the orders.
        source: The run of the host that it last asked.
        revision: The edition of the entries that it had from that host.
    """

    orders_end: Offset
    source: Incarnation
    revision: int


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
        revision: Counts their changes in this run of the host.
        entries: All entries; None where the asking host knows them.
    """

    age: Seconds
    revision: int
    entries: tuple[ServerEntry, ...] | None


class SharedResponse(msgspec.Struct, frozen=True, array_like=True):
    """What one host shares.

    Attributes:
        source: Its run.
        orders: The orders; None where it never read any.
        entries: The entries; None where it never read any.
    """

    source: Incarnation
    orders: SharedOrders | None
    entries: SharedEntries | None


FetchShared = Callable[
    [ServerAddress, SharedRequest], Awaitable[SharedResponse | None]
]
"""Asks a host for what it knows; None where it doesn't answer."""


def make_shared_handler(
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
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        try:
            known = msgspec.msgpack.decode(message.body, type=SharedRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return EncodedResponse(encode_response(BAD_REQUEST, (), b''), True)
        shared = SharedResponse(
            source=source,
            orders=_share_orders(orders, known, arrived),
            entries=_share_entries(roster, known, source, arrived),
        )
        body = msgspec.msgpack.encode(shared)
        return EncodedResponse(
            encode_response(OK, (), body), not message.keep_alive
        )

    return respond


def make_fetch_shared(*, exchange: Exchange) -> FetchShared:
    """Make the function that asks another host.

    Args:
        exchange: Exchanges on kept connections.
    """

    async def ask(
        at: ServerAddress, known: SharedRequest
    ) -> SharedResponse | None:
        host = f'{at.address}:{at.port}'.encode()
        request = encode_request(
            b'POST',
            SHARED_TARGET,
            ((b'host', host),),
            msgspec.msgpack.encode(known),
        )
        reply = await exchange(at, request, _is_any)
        if isinstance(reply, ExchangeFailure) or reply.status != OK:
            return None
        try:
            return msgspec.msgpack.decode(reply.body, type=SharedResponse)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None

    return ask


def _is_any(headers: Headers) -> bool:
    return True


def _share_orders(
    orders: Orders, known: SharedRequest, now: Monotonic
) -> SharedOrders | None:
    if orders.confirmed_at is None or orders.listing is None:
        return None
    news = orders.end > known.orders_end
    return SharedOrders(
        age=Seconds(now - orders.confirmed_at),
        listing=orders.listing if news else None,
    )


def _share_entries(
    roster: Roster, known: SharedRequest, source: Incarnation, now: Monotonic
) -> SharedEntries | None:
    if roster.last_listed_at is None:
        return None
    same = known.source == source and known.revision == roster.revision
    return SharedEntries(
        age=Seconds(now - roster.last_listed_at),
        revision=roster.revision,
        entries=None if same else roster.entries,
    )
