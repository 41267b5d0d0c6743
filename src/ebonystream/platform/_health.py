"""Requests for a server's health, and the reports in its responses."""

from ebonystream._calls import Headers
from ebonystream._ids import ServerId
from ebonystream._timers import MS_PER_SECOND
from ebonystream._validation import limit_duration
from ebonystream.http1 import Message
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    COLD_MS,
    INSTANCE_ID,
    SERVER_LOAD,
    find_header,
)
from ebonystream.platform._notices import parse_notice
from ebonystream.platform._numbers import parse_whole_number
from ebonystream.roster import HealthReport, LoadReport, ServerEntry

USUAL_PACE_PERCENT = 100
MIN_LOAD_FIELDS = 3
MAX_LOAD_FIELDS = 16
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
    cold_ms = parse_whole_number(find_header(message.headers, COLD_MS))
    server_id = None if instance is None else instance.decode('latin-1')
    return HealthReport(
        healthy=message.status == OK_STATUS,
        server_id=None if server_id is None else ServerId(server_id),
        cold_left=None
        if cold_ms is None
        else limit_duration(cold_ms / MS_PER_SECOND),
        load=parse_load(message.headers),
        notice=parse_notice(message),
    )


def parse_load(headers: Headers) -> LoadReport | None:
    """Parse the load that a server reports; None if absent or malformed.

    Args:
        headers: The header fields of the server's response.
    """
    text = find_header(headers, SERVER_LOAD)
    fields = (text or b'').split(b',', MAX_LOAD_FIELDS)
    figures = _parse_figures(fields)
    if len(figures) < MIN_LOAD_FIELDS:
        return None
    running, waiting, slots, *pace = figures
    if slots < 1:
        return None
    percent = pace[0] if pace else USUAL_PACE_PERCENT
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        pace=percent / USUAL_PACE_PERCENT,
    )


def _parse_figures(fields: list[bytes]) -> list[int]:
    """Parse the figures; the result is empty if any of them is malformed."""
    figures: list[int] = []
    for field in fields:
        figure = parse_whole_number(field.strip())
        if figure is None:
            return []
        figures.append(figure)
    return figures
