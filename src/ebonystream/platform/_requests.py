"""Decoding of callers' requests, encoding of requests to servers."""

import math

from ebonystream._calls import Headers
from ebonystream._ids import AttemptId, Monotonic, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.http1 import EncodedMessage, Message, encode_request_parts
from ebonystream.platform._credentials import parse_credential
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    HOP_BY_HOP_HEADERS,
    WORKSPACE,
    drop_access_headers,
    drop_headers,
    find_header,
)
from ebonystream.platform._numbers import parse_whole_number
from ebonystream.request import Request
from ebonystream.roster import ServerEntry
from ebonystream.workspace import Access

REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {DEADLINE_MS, EXPECTED_INSTANCE}


def decode_caller_request(message: Message, arrived: Monotonic) -> Request:
    """Decode a caller's request.

    Args:
        message: The HTTP request that the caller sent.
        arrived: When the first byte of the request was received.
    """
    target = message.target.decode('latin-1')
    host = find_header(message.headers, b'host') or b''
    attempt = find_header(message.headers, ATTEMPT_ID) or b''
    time_left_ms = find_header(message.headers, DEADLINE_MS)
    return Request(
        attempt_id=AttemptId(attempt.decode('latin-1')),
        host=host.decode('latin-1').partition(':')[0],
        method=message.method.decode('ascii'),
        target=target,
        path=target.partition('?')[0],
        headers=drop_headers(message.headers, REPLACED_HEADERS),
        body=message.body,
        arrived_at=arrived,
        deadline=_add_ms(arrived, time_left_ms),
        credential=parse_credential(message.headers),
    )


def encode_server_request(
    request: Request, server: ServerEntry, time_left: Seconds
) -> EncodedMessage:
    """Encode a request for a backend server.

    Args:
        request: The caller's request.
        server: The server; no other instance may run the request.
        time_left: Time until the deadline of the response, in seconds.
    """
    added = (
        (DEADLINE_MS, b'%d' % max(1, math.floor(time_left * MS_PER_SECOND))),
        (EXPECTED_INSTANCE, server.id.encode('latin-1')),
    )
    return encode_request_parts(
        request.method.encode('ascii'),
        request.target.encode('latin-1'),
        _replace_access_headers(request) + added,
        request.body,
    )


def _replace_access_headers(request: Request) -> Headers:
    """Return the header fields, with the workspace in place of the key.

    Without workspaces in the configuration they are passed on as received.
    """
    if request.access is Access.OPEN:
        return request.headers
    headers = drop_access_headers(request.headers)
    if request.workspace is None:
        return headers
    return (*headers, (WORKSPACE, request.workspace.encode('ascii')))


def _add_ms(start: Monotonic, field: bytes | None) -> Monotonic | None:
    duration_ms = parse_whole_number(field)
    if duration_ms is None:
        return None
    return Monotonic(start + duration_ms / MS_PER_SECOND)
