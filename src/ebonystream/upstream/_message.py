"""Encodes a call as an HTTP request and decodes the response."""

import math
from http import HTTPStatus

from ebonystream._ids import BootId, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.backend import (
    Attempt,
    AttemptKind,
    LoadReport,
    ServerAddress,
    ServerState,
)
from ebonystream.call import (
    CUSTOMER_HEADER,
    TIMEOUT_HEADER,
    Call,
    CallResponse,
    Header,
    Headers,
)
from ebonystream.errors import Outcome
from ebonystream.http1 import EncodedMessage, Message, encode_request_parts

NOT_RUN_HEADER = b'x-not-run'
BOOT_HEADER = b'x-boot-id'
IN_FLIGHT_HEADER = b'x-in-flight'
STATE_HEADER = b'x-server-state'

DROPPED_REQUEST_HEADERS = frozenset(
    (CUSTOMER_HEADER, TIMEOUT_HEADER, b'host', b'content-length')
)
DROPPED_RESPONSE_HEADERS = frozenset(
    (b'connection', b'keep-alive', b'transfer-encoding', b'content-length')
)


def encode_call(
    call: Call, server_address: ServerAddress, remaining: Seconds
) -> EncodedMessage:
    """Encode a call as an HTTP request.

    Args:
        call: The call.
        server_address: Address of the backend server that it is sent to.
        remaining: Time left to the deadline, in seconds.
    """
    remaining_ms = max(0, math.floor(remaining * MS_PER_SECOND))
    added = [
        (b'host', f'{server_address.address}:{server_address.port}'.encode()),
        (CUSTOMER_HEADER, call.customer.encode('latin-1')),
        (b'x-route', call.route.encode('latin-1')),
        (b'x-deadline-ms', str(remaining_ms).encode()),
    ]
    return encode_request_parts(
        call.method.encode(),
        call.target.encode('latin-1'),
        added + _filter_headers(call.headers, DROPPED_REQUEST_HEADERS),
        call.body,
    )


def decode_response(message: Message) -> Attempt:
    """Decode a backend server's response to the result of an attempt.

    Args:
        message: The complete HTTP response.
    """
    headers = message.headers
    report = parse_load_report(headers)
    if _find_header(headers, NOT_RUN_HEADER) == b'true':
        # A success or a redirect contradicts it: the call may have run.
        is_error = message.status >= HTTPStatus.BAD_REQUEST
        kind = AttemptKind.REFUSED if is_error else AttemptKind.INTERRUPTED
        return Attempt(kind, report=report)
    response = CallResponse(
        outcome=Outcome.RAN,
        status=message.status,
        headers=tuple(_filter_headers(headers, DROPPED_RESPONSE_HEADERS)),
        body=message.body,
    )
    return Attempt(AttemptKind.ANSWERED, response=response, report=report)


def parse_load_report(headers: Headers) -> LoadReport:
    """Parse what a backend server reports about its state and its load.

    Args:
        headers: Header fields of its response.
    """
    boot = _find_header(headers, BOOT_HEADER)
    in_flight = _find_header(headers, IN_FLIGHT_HEADER)
    has_count = in_flight is not None and in_flight.isdigit()
    return LoadReport(
        state=_parse_state(_find_header(headers, STATE_HEADER)),
        boot=None if boot is None else BootId(boot.decode('latin-1')),
        in_flight=int(in_flight or 0) if has_count else None,
    )


def _parse_state(value: bytes | None) -> ServerState:
    """Parse a server's state; a missing or unknown one counts as serving."""
    if value is None:
        return ServerState.SERVING
    try:
        return ServerState(value.decode('latin-1'))
    except ValueError:
        return ServerState.SERVING


def _find_header(headers: Headers, name: bytes) -> bytes | None:
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def _filter_headers(
    headers: Headers, dropped: frozenset[bytes]
) -> list[Header]:
    return [header for header in headers if header[0] not in dropped]
