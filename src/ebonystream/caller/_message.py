"""Decodes callers' HTTP/1.1 requests and encodes the responses to them."""

from ebonystream._ids import EpochMs, Monotonic
from ebonystream.call import CallRequest, CallResponse, Header
from ebonystream.http1 import Message, encode_response

HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def decode_request(message: Message, received_at: Monotonic) -> CallRequest:
    """Decode a caller's request and drop its hop-by-hop header fields.

    Args:
        message: The complete HTTP request.
        received_at: When its last byte arrived, on the monotonic clock.
    """
    return CallRequest(
        method=message.method.decode('ascii'),
        target=message.target.decode('latin-1'),
        headers=tuple(
            header for header in message.headers if _is_end_to_end(header)
        ),
        body=message.body,
        received_at=received_at,
    )


def encode_call_response(
    response: CallResponse, *, wall_time_ms: EpochMs, close: bool
) -> bytes:
    """Encode the response to a caller.

    Args:
        response: Response to encode.
        wall_time_ms: Current wall-clock time.
        close: Whether the connection is closed after the response.
    """
    headers = [
        *response.headers,
        (b'x-outcome', response.outcome.value.encode()),
        (b'x-system-time-ms', str(wall_time_ms).encode()),
    ]
    if close:
        headers.append((b'connection', b'close'))
    return encode_response(response.status, headers, response.body)


def _is_end_to_end(header: Header) -> bool:
    return header[0] not in HOP_BY_HOP_HEADERS
