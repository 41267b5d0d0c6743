"""Sharing of orders and server entries that a peer has read from the store."""

from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Incarnation, Monotonic, Offset, Seconds
from ebonystream._timers import Timers
from ebonystream._validation import (
    MAX_DURATION_S,
    UNDECODABLE,
    limit_duration,
)
from ebonystream.http1 import Message, encode_request, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse, Respond
from ebonystream.link import Exchange, ExchangeFailure
from ebonystream.orders import Orders, OrdersListing
from ebonystream.roster import Roster, ServerEntry

OK = 200
BAD_REQUEST = 400
SHARED_TARGET = b'/shared'
_AGE = msgspec.Meta(ge=0, le=MAX_DURATION_S)


class SharedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for shared state: what the requesting host already has.

    Attributes:
        orders_end: Offset up to which it has the orders.
        source: Incarnation of the host that it last requested state from.
        revision: Revision of the server entries received from that host.
    """

    orders_end: Offset
    source: Incarnation
    revision: int


class SharedOrders(msgspec.Struct, frozen=True, array_like=True):
    """Orders as known to one host.

    Attributes:
        age: Time since the store last confirmed the orders, in seconds.
        listing: All orders; None if the requesting host already has them.
    """

    age: Annotated[Seconds, _AGE]
    listing: OrdersListing | None


class SharedEntries(msgspec.Struct, frozen=True, array_like=True):
    """Entries of the backend servers as known to one host.

    Attributes:
        age: Time since the entries were read, in seconds.
        revision: Revision of the entries: the number of changes to them
            within this incarnation of the host.
        entries: All entries; None if the requesting host already has them.
    """

    age: Annotated[Seconds, _AGE]
    revision: int
    entries: tuple[ServerEntry, ...] | None


class SharedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response with the state that one host shares.

    Attributes:
        source: Incarnation of the responding host.
        orders: Orders; None if the host has never read any.
        entries: Server entries; None if the host has never read any.
    """

    source: Incarnation
    orders: SharedOrders | None
    entries: SharedEntries | None


FetchShared = Callable[
    [ServerAddress, SharedRequest], Awaitable[SharedResponse | None]
]
"""Fetch the shared state of a host; None without a valid response."""


def make_shared_handler(
    *, orders: Orders, roster: Roster, source: Incarnation, timers: Timers
) -> Respond:
    """Return the handler of requests for shared state from other hosts.

    Args:
        orders: Orders known to this host.
        roster: Backend servers known to this host.
        source: Incarnation of this host.
        timers: Unused; ages are relative to the arrival of the request.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        try:
            request = msgspec.msgpack.decode(message.body, type=SharedRequest)
        except UNDECODABLE:
            return EncodedResponse(encode_response(BAD_REQUEST, (), b''), True)
        shared = SharedResponse(
            source=source,
            orders=_select_orders(orders, request, arrived),
            entries=_select_entries(roster, request, source, arrived),
        )
        body = msgspec.msgpack.encode(shared)
        return EncodedResponse(
            encode_response(OK, (), body), not message.keep_alive
        )

    return respond


def make_fetch_shared(*, exchange: Exchange) -> FetchShared:
    """Return the function that fetches the shared state of another host.

    Args:
        exchange: Sends a request on a pooled connection.
    """

    async def fetch(
        at: ServerAddress, request: SharedRequest
    ) -> SharedResponse | None:
        host = f'{at.address}:{at.port}'.encode()
        encoded = encode_request(
            b'POST',
            SHARED_TARGET,
            ((b'host', host),),
            msgspec.msgpack.encode(request),
        )
        result = await exchange(at, encoded, _accept_any)
        if isinstance(result, ExchangeFailure) or result.status != OK:
            return None
        try:
            return msgspec.msgpack.decode(result.body, type=SharedResponse)
        except UNDECODABLE:
            return None

    return fetch


def _accept_any(headers: Headers) -> bool:
    """Accept any response.

    A cancelled exchange closes its connection, so that no late response to an
    earlier request can arrive on it.
    """
    return True


def _select_orders(
    orders: Orders, request: SharedRequest, now: Monotonic
) -> SharedOrders | None:
    if orders.confirmed_at is None or orders.listing is None:
        return None
    has_newer = orders.end > request.orders_end
    return SharedOrders(
        age=limit_duration(now - orders.confirmed_at),
        listing=orders.listing if has_newer else None,
    )


def _select_entries(
    roster: Roster, request: SharedRequest, source: Incarnation, now: Monotonic
) -> SharedEntries | None:
    if roster.last_listed_at is None:
        return None
    is_current = (
        request.source == source and request.revision == roster.revision
    )
    return SharedEntries(
        age=limit_duration(now - roster.last_listed_at),
        revision=roster.revision,
        entries=None if is_current else roster.entries,
    )
