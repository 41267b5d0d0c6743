"""How a caller's request and its answer are spelled in HTTP/1.1."""

import h11

from ebonystream._ids import EpochMs, Monotonic
from ebonystream.call import Answer, Header, Received

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


def decode_request(head: h11.Request, body: bytes, at: Monotonic) -> Received:
    """Read a caller's whole request.

    Args:
        head: The head of the HTTP request.
        body: Its whole body.
        at: When its last byte came.
    """
    return Received(
        method=head.method.decode('ascii'),
        target=head.target.decode('latin-1'),
        headers=tuple(one for one in head.headers if _is_end_to_end(one)),
        body=body,
        at=at,
    )


def encode_answer(
    answer: Answer, *, time: EpochMs, close: bool
) -> h11.Response:
    """Spell the head of an answer.

    Args:
        answer: What the caller gets.
        time: This host's wall clock.
        close: Whether the connection closes after the answer.
    """
    headers = [
        *answer.headers,
        (b'content-length', str(len(answer.body)).encode()),
        (b'x-outcome', answer.outcome.value.encode()),
        (b'x-system-time-ms', str(time).encode()),
    ]
    if close:
        headers.append((b'connection', b'close'))
    return h11.Response(status_code=answer.status, headers=headers)


def _is_end_to_end(header: Header) -> bool:
    return header[0] not in HOP_BY_HOP_HEADERS
