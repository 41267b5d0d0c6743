"""Counts of requests that hosts send to the holder of the duty, over HTTP."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import Monotonic
from ebonystream._validation import UNDECODABLE
from ebonystream.http1 import Message, encode_request, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse, Respond
from ebonystream.link import Exchange, ExchangeFailure, match_any
from ebonystream.usage import CountsMessage, CountsReply

OK = 200
BAD_REQUEST = 400
COUNTS_TARGET = b'/counts'

SendCounts = Callable[
    [ServerAddress, CountsMessage], Awaitable[CountsReply | None]
]
"""Send counts to a host; None without a valid reply."""

TakeCounts = Callable[[CountsMessage], CountsReply]
"""Take the counts of another host."""


def make_counts_handler(
    take: TakeCounts, respond_otherwise: Respond
) -> Respond:
    """Return the handler of requests that carry counts.

    Args:
        take: Takes the counts of another host.
        respond_otherwise: Handles all other requests.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        if message.target != COUNTS_TARGET:
            return await respond_otherwise(message, arrived, presence)
        try:
            counts = msgspec.msgpack.decode(message.body, type=CountsMessage)
        except UNDECODABLE:
            return EncodedResponse(encode_response(BAD_REQUEST, (), b''), True)
        reply = msgspec.msgpack.encode(take(counts))
        return EncodedResponse(
            encode_response(OK, (), reply), not message.keep_alive
        )

    return respond


def make_send_counts(*, exchange: Exchange) -> SendCounts:
    """Return the function that sends counts to another host.

    Args:
        exchange: Sends a request on a pooled connection.
    """

    async def send(
        at: ServerAddress, message: CountsMessage
    ) -> CountsReply | None:
        result = await exchange(at, encode_counts(at, message), match_any)
        if isinstance(result, ExchangeFailure) or result.status != OK:
            return None
        try:
            return msgspec.msgpack.decode(result.body, type=CountsReply)
        except UNDECODABLE:
            return None

    return send


def encode_counts(at: ServerAddress, message: CountsMessage) -> bytes:
    """Encode the request that carries counts.

    Args:
        at: Address of the receiver.
        message: The counts.
    """
    host = f'{at.address}:{at.port}'.encode()
    return encode_request(
        b'POST',
        COUNTS_TARGET,
        ((b'host', host),),
        msgspec.msgpack.encode(message),
    )
