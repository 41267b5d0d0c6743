"""Sharing of orders and server entries that a peer has read from the store."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import BootTime, Incarnation, Monotonic
from ebonystream._timers import Timers
from ebonystream._validation import UNDECODABLE, limit_duration
from ebonystream.gossip._listing_pace import ListingPace
from ebonystream.gossip._shared_encoding import (
    MALFORMED,
    SharedEncoder,
    decode_shared,
)
from ebonystream.gossip._shared_state import (
    SharedEntries,
    SharedOrders,
    SharedRequest,
    SharedResponse,
)
from ebonystream.http1 import Message, encode_request, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse, Respond
from ebonystream.link import Exchange, ExchangeFailure, match_any
from ebonystream.orders import Orders
from ebonystream.roster import Roster

OK = 200
BAD_REQUEST = 400
SHARED_TARGET = b'/shared'


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
        timers: Source of the current time. Only the age of the proof that
            the orders are the newest is relative to it; the other ages are
            relative to the arrival of the request.
    """
    encoder = SharedEncoder()
    pace = ListingPace()

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        try:
            request = msgspec.msgpack.decode(message.body, type=SharedRequest)
        except UNDECODABLE:
            return EncodedResponse(encode_response(BAD_REQUEST, (), b''), True)
        shared = SharedResponse(
            source=source,
            orders=_pace_listing(
                _select_orders(orders, request, arrived, timers.boot_now()),
                encoder,
                pace,
                timers.now(),
            ),
            entries=_select_entries(roster, request, source, arrived),
        )
        return EncodedResponse(
            encode_response(OK, (), encoder.encode(shared)),
            not message.keep_alive,
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
        result = await exchange(at, encoded, match_any)
        if isinstance(result, ExchangeFailure) or result.status != OK:
            return None
        try:
            return decode_shared(result.body)
        except MALFORMED:
            return None

    return fetch


def _select_orders(
    orders: Orders,
    request: SharedRequest,
    now: Monotonic,
    boot_now: BootTime,
) -> SharedOrders | None:
    if orders.confirmed_at is None or orders.listing is None:
        return None
    has_newer = orders.position > request.get_orders_position()
    asked_age = orders.freshness.get_age(boot_now)
    return SharedOrders(
        age=limit_duration(now - orders.confirmed_at),
        listing=orders.listing if has_newer else None,
        era=orders.position.era,
        end=orders.position.end,
        asked_age=None if asked_age is None else limit_duration(asked_age),
    )


def _pace_listing(
    shared: SharedOrders | None,
    encoder: SharedEncoder,
    pace: ListingPace,
    now: Monotonic,
) -> SharedOrders | None:
    """Leave out the listing of workspaces while too many are being sent.

    The end of the orders tells the requesting host that it lacks some.
    """
    if shared is None or shared.listing is None:
        return shared
    configuration = shared.listing.configuration
    if configuration is None or not configuration.workspaces:
        return shared
    size = len(encoder.orders.encode(shared.listing.position, shared.listing))
    if pace.try_send(size, now):
        return shared
    return msgspec.structs.replace(shared, listing=None)


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
