"""Encoding of callers' requests and the responses to them in HTTP/1.1."""

from ebonystream._ids import EpochMs, Monotonic
from ebonystream.call import Answer, Header, Received
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


def decode_request(message: Message, at: Monotonic) -> Received:
    """Parse a caller's request.

    Args:
        message: The complete HTTP request.
        at: When its last byte arrived, on the monotonic clock.
    """
    return Received(
        method=message.method.decode('ascii'),
        target=message.target.decode('latin-1'),
        headers=tuple(
            header for header in message.headers if _is_end_to_end(header)
        ),
        body=message.body,
        at=at,
    )


def encode_answer(answer: Answer, *, time: EpochMs, close: bool) -> bytes:
    """Encode the response to a caller.

    Args:
        answer: The response.
        time: Current wall-clock time.
        close: Whether the connection is closed after the response.
    """
    headers = [
        *answer.headers,
        (b'x-outcome', answer.outcome.value.encode()),
        (b'x-system-time-ms', str(time).encode()),
    ]
    if close:
        headers.append((b'connection', b'close'))
    return encode_response(answer.status, headers, answer.body)


def _is_end_to_end(header: Header) -> bool:
    return header[0] not in HOP_BY_HOP_HEADERS
