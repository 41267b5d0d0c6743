"""Requests: as callers send them, and as backend servers get them."""

import math

from ebonystream._ids import AttemptId, Monotonic, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.http1 import Message, encode_request
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    HOP_BY_HOP_HEADERS,
    drop_headers,
    find_header,
)
from ebonystream.request import Request
from ebonystream.roster import ServerEntry

REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {DEADLINE_MS, EXPECTED_INSTANCE}


def decode_caller_request(message: Message, arrived: Monotonic) -> Request:
    """Read a caller's request.

    Args:
        message: The HTTP request.
        arrived: When its first byte came.
    """
    target = message.target.decode('latin-1')
    host = find_header(message.headers, b'host') or b''
    attempt = find_header(message.headers, ATTEMPT_ID) or b''
    left = find_header(message.headers, DEADLINE_MS)
    return Request(
        attempt_id=AttemptId(attempt.decode('latin-1')),
        host=host.decode('latin-1').partition(':')[0],
        method=message.method.decode('ascii'),
        target=target,
        path=target.partition('?')[0],
        headers=drop_headers(message.headers, REPLACED_HEADERS),
        body=message.body,
        arrived_at=arrived,
        deadline=_add_ms(arrived, left),
    )


def encode_server_request(
    request: Request, server: ServerEntry, left: Seconds
) -> bytes:
    """Spell a request for a backend server.

    Args:
        request: The caller's request.
        server: The one server that may run it.
        left: How long its answer is waited for, in seconds.
    """
    added = (
        (DEADLINE_MS, b'%d' % max(1, math.floor(left * MS_PER_SECOND))),
        (EXPECTED_INSTANCE, server.id.encode('latin-1')),
    )
    return encode_request(
        request.method.encode('ascii'),
        request.target.encode('latin-1'),
        request.headers + added,
        request.body,
    )


def _add_ms(since: Monotonic, length: bytes | None) -> Monotonic | None:
    if length is None or not length.isdigit():
        return None
    return Monotonic(since + int(length) / MS_PER_SECOND)
