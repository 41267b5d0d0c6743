"""Requests for a server's health, and the reports in its responses."""

from ebonystream._calls import Headers
from ebonystream._ids import Seconds, ServerId
from ebonystream._timers import MS_PER_SECOND
from ebonystream.http1 import Message
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    COLD_MS,
    INSTANCE_ID,
    SERVER_LOAD,
    find_header,
)
from ebonystream.roster import HealthReport, LoadReport, ServerEntry

USUAL_PACE_PERCENT = 100
MIN_LOAD_FIELDS = 3
OK_STATUS = 200


def encode_health_request(server: ServerEntry, path: str) -> bytes:
    """Encode a health check request.

    Args:
        server: The server to check.
        path: The health check path of its service.
    """
    host = f'{server.at.address}:{server.at.port}'.encode()
    return b'GET %b HTTP/1.1\r\nhost: %b\r\n\r\n' % (path.encode(), host)


def is_health_response(headers: Headers) -> bool:
    """Return whether a response belongs to a health check.

    Late responses to requests carry an attempt id; health responses don't.

    Args:
        headers: The header fields of the response.
    """
    return find_header(headers, ATTEMPT_ID) is None


def decode_health_response(message: Message) -> HealthReport:
    """Decode a health check response.

    Args:
        message: The HTTP response that the server sent.
    """
    instance = find_header(message.headers, INSTANCE_ID)
    cold_ms = find_header(message.headers, COLD_MS)
    has_cold_ms = cold_ms is not None and cold_ms.isdigit()
    server_id = None if instance is None else instance.decode('latin-1')
    return HealthReport(
        healthy=message.status == OK_STATUS,
        server_id=None if server_id is None else ServerId(server_id),
        cold_left=Seconds(int(cold_ms or 0) / MS_PER_SECOND)
        if has_cold_ms
        else None,
        load=parse_load(message.headers),
    )


def parse_load(headers: Headers) -> LoadReport | None:
    """Parse the load that a server reports; None if absent or malformed.

    Args:
        headers: The header fields of the server's response.
    """
    text = find_header(headers, SERVER_LOAD)
    figures = [part.strip() for part in (text or b'').split(b',')]
    if len(figures) < MIN_LOAD_FIELDS or not all(map(bytes.isdigit, figures)):
        return None
    running, waiting, slots, *pace = map(int, figures)
    percent = pace[0] if pace else USUAL_PACE_PERCENT
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        pace=percent / USUAL_PACE_PERCENT,
    )
