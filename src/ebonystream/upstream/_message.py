"""How a call and its answer are spelled in HTTP/1.1."""

import math

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
    Answer,
    Call,
    Header,
    Headers,
)
from ebonystream.errors import Outcome
from ebonystream.http1 import Message, encode_request

NOT_RUN_HEADER = b'x-not-run'
BOOT_HEADER = b'x-boot-id'
IN_FLIGHT_HEADER = b'x-in-flight'
STATE_HEADER = b'x-server-state'

DROPPED_REQUEST_HEADERS = frozenset(
    (CUSTOMER_HEADER, TIMEOUT_HEADER, b'host', b'content-length')
)
DROPPED_ANSWER_HEADERS = frozenset(
    (b'connection', b'keep-alive', b'transfer-encoding', b'content-length')
)


def encode_call(call: Call, at: ServerAddress, remaining: Seconds) -> bytes:
    """Spell a call as an HTTP request.

    Args:
        call: What is sent.
        at: Which backend server it goes to.
        remaining: What is left of the deadline, in seconds.
    """
    remaining_ms = max(0, math.floor(remaining * MS_PER_SECOND))
    own = [
        (b'host', f'{at.address}:{at.port}'.encode()),
        (CUSTOMER_HEADER, call.customer.encode('latin-1')),
        (b'x-route', call.route.encode('latin-1')),
        (b'x-deadline-ms', str(remaining_ms).encode()),
    ]
    return encode_request(
        call.method.encode(),
        call.target.encode('latin-1'),
        own + _keep(call.headers, DROPPED_REQUEST_HEADERS),
        call.body,
    )


def decode_answer(message: Message) -> Attempt:
    """Read a backend server's whole answer.

    Args:
        message: The HTTP response.
    """
    headers = message.headers
    report = read_report(headers)
    if _find(headers, NOT_RUN_HEADER) == b'true':
        return Attempt(AttemptKind.REFUSED, report=report)
    answer = Answer(
        outcome=Outcome.RAN,
        status=message.status,
        headers=tuple(_keep(headers, DROPPED_ANSWER_HEADERS)),
        body=message.body,
    )
    return Attempt(AttemptKind.ANSWERED, answer=answer, report=report)


def read_report(headers: Headers) -> LoadReport:
    """Read what a backend server says of itself.

    Args:
        headers: The header fields of its answer.
    """
    boot = _find(headers, BOOT_HEADER)
    in_flight = _find(headers, IN_FLIGHT_HEADER)
    counted = in_flight is not None and in_flight.isdigit()
    return LoadReport(
        state=_read_state(_find(headers, STATE_HEADER)),
        boot=None if boot is None else BootId(boot.decode('latin-1')),
        in_flight=int(in_flight or 0) if counted else None,
    )


def _read_state(sent: bytes | None) -> ServerState:
    if sent is None:
        return ServerState.SERVING
    try:
        return ServerState(sent.decode('latin-1'))
    except ValueError:
        return ServerState.SERVING


def _find(headers: Headers, name: bytes) -> bytes | None:
    for key, header in headers:
        if key == name:
            return header
    return None


def _keep(headers: Headers, dropped: frozenset[bytes]) -> list[Header]:
    return [one for one in headers if one[0] not in dropped]
