"""The platform's header fields: requests, answers and health answers."""

import math

from ebonystream._calls import Header, Headers
from ebonystream._ids import AttemptId, Monotonic, Seconds, ServerId
from ebonystream._timers import MS_PER_SECOND
from ebonystream.http1 import Message, spell_request, spell_response
from ebonystream.link import IsOwn
from ebonystream.request import (
    Dialect,
    Request,
    Response,
    ServerAnswer,
    Verdict,
)
from ebonystream.roster import HealthReport, LoadReport, ServerEntry

ATTEMPT_ID = b'ebonystream-attempt-id'
DEADLINE_MS = b'ebonystream-deadline-ms'
EXPECTED_INSTANCE = b'ebonystream-expected-instance'
RESPONSE_SEAL = b'ebonystream-response-seal'
NOT_EXECUTED = b'ebonystream-not-executed'
SERVER_LOAD = b'ebonystream-server-load'
"""Running, waiting, slots, and the pace of the machine (100: as usual)."""

INSTANCE_ID = b'ebonystream-instance-id'
COLD_MS = b'ebonystream-cold-ms'
RETRY_AFTER = b'retry-after'
CONTENT_ENCODING = b'content-encoding'

USUAL_PACE = 100
LOAD_FIGURES = 3
OK = 200
FIRST_SERVER_FAILURE = 500
MISDIRECTED = 421

CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
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
SET_ON_REQUESTS = CONNECTION_HEADERS | {DEADLINE_MS, EXPECTED_INSTANCE}


def make_dialect() -> Dialect:
    """Make the functions that translate the platform's messages."""
    return Dialect(
        read_request=read_request,
        spell_request=spell_server_request,
        make_is_own=make_is_own,
        read_answer=read_answer,
        spell_response=spell_caller_response,
        spell_question=spell_question,
        is_health=is_health,
        read_health=read_health,
    )


def read_request(message: Message, arrived: Monotonic) -> Request:
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
        attempt=AttemptId(attempt.decode('latin-1')),
        host=host.decode('latin-1').partition(':')[0],
        method=message.method.decode('ascii'),
        target=target,
        path=target.partition('?')[0],
        headers=_drop(message.headers, SET_ON_REQUESTS),
        body=message.body,
        arrived=arrived,
        deadline=_add_ms(arrived, left),
    )


def spell_server_request(
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
    return spell_request(
        request.method.encode('ascii'),
        request.target.encode('latin-1'),
        request.headers + added,
        request.body,
    )


def make_is_own(request: Request) -> IsOwn:
    """Make the test that finds the answer of one request.

    An answer that names no attempt is taken: refusals may name none.

    Args:
        request: The request.
    """
    name = request.attempt.encode('latin-1')

    def is_own(headers: Headers) -> bool:
        return find_header(headers, ATTEMPT_ID) in {None, name}

    return is_own


def read_answer(message: Message) -> ServerAnswer:
    """Read a server's answer to a request.

    Args:
        message: The HTTP response.
    """
    return ServerAnswer(
        verdict=_judge(message),
        status=message.status,
        headers=_drop(message.headers, CONNECTION_HEADERS),
        body=message.body,
        load=read_load(message.headers),
    )


def spell_caller_response(response: Response, close: bool) -> bytes:
    """Spell what a caller gets.

    Args:
        response: The answer.
        close: Whether the connection closes after it.
    """
    headers = list(response.headers)
    if response.retry_after is not None:
        headers.append((RETRY_AFTER, b'%.3f' % response.retry_after))
    if close:
        headers.append((b'connection', b'close'))
    return spell_response(response.status, headers, response.body)


def spell_question(server: ServerEntry, path: str) -> bytes:
    """Spell the question for a server's health.

    Args:
        server: The server.
        path: Where its service tells it.
    """
    host = f'{server.at.address}:{server.at.port}'.encode()
    return b'GET %b HTTP/1.1\r\nhost: %b\r\n\r\n' % (path.encode(), host)


def is_health(headers: Headers) -> bool:
    """Tell a health answer from late answers to requests.

    Args:
        headers: The header fields of an answer.
    """
    return find_header(headers, ATTEMPT_ID) is None


def read_health(message: Message) -> HealthReport:
    """Read what a server says of its health.

    Args:
        message: The HTTP response.
    """
    instance = find_header(message.headers, INSTANCE_ID)
    cold = find_header(message.headers, COLD_MS)
    told = cold is not None and cold.isdigit()
    server = None if instance is None else instance.decode('latin-1')
    return HealthReport(
        healthy=message.status == OK,
        server=None if server is None else ServerId(server),
        cold=Seconds(int(cold or 0) / MS_PER_SECOND) if told else None,
        load=read_load(message.headers),
    )


def read_load(headers: Headers) -> LoadReport | None:
    """Read a server's load; None where it tells none.

    Args:
        headers: The header fields of its answer.
    """
    text = find_header(headers, SERVER_LOAD)
    figures = [part.strip() for part in (text or b'').split(b',')]
    if len(figures) < LOAD_FIGURES or not all(map(bytes.isdigit, figures)):
        return None
    running, waiting, slots, *pace = map(int, figures)
    percent = pace[0] if pace else USUAL_PACE
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        pace=percent / USUAL_PACE,
    )


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Find the first field of a name.

    Args:
        headers: Header fields, their names in lower case.
        name: The name, in lower case.
    """
    for key, field in headers:
        if key == name:
            return field
    return None


def _judge(message: Message) -> Verdict:
    if message.status == MISDIRECTED:
        return Verdict.MISDIRECTED
    if find_header(message.headers, NOT_EXECUTED) is not None:
        return Verdict.NOT_RUN
    sealed = find_header(message.headers, RESPONSE_SEAL) is not None
    encoded = find_header(message.headers, CONTENT_ENCODING) is not None
    if not sealed or encoded:
        return Verdict.SPOILED
    if message.status < FIRST_SERVER_FAILURE:
        return Verdict.SERVED
    return Verdict.FAILED


def _drop(headers: Headers, names: frozenset[bytes]) -> Headers:
    listed = _list_connection_headers(headers)
    kept: list[Header] = []
    for header in headers:
        if header[0] not in names and header[0] not in listed:
            kept.append(header)
    return tuple(kept)


def _list_connection_headers(headers: Headers) -> frozenset[bytes]:
    """List the fields that `Connection` names as the connection's own."""
    field = find_header(headers, b'connection') or b''
    names = (part.strip().lower() for part in field.split(b','))
    return frozenset(names) - {b'close', ATTEMPT_ID, b'host'}


def _add_ms(since: Monotonic, length: bytes | None) -> Monotonic | None:
    if length is None or not length.isdigit():
        return None
    return Monotonic(since + int(length) / MS_PER_SECOND)
