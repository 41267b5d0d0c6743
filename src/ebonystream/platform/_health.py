"""The question for a server's health, and its answer."""

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
    """Spell the question for a server's health.

    Args:
        server: The server.
        path: Where its service tells it.
    """
    host = f'{server.at.address}:{server.at.port}'.encode()
    return b'GET %b HTTP/1.1\r\nhost: %b\r\n\r\n' % (path.encode(), host)


def is_health_response(headers: Headers) -> bool:
    """Tell a health answer from late answers to requests.

    Args:
        headers: The header fields of an answer.
    """
    return find_header(headers, ATTEMPT_ID) is None


def decode_health_response(message: Message) -> HealthReport:
    """Read what a server says of its health.

    Args:
        message: The HTTP response.
    """
    instance = find_header(message.headers, INSTANCE_ID)
    cold = find_header(message.headers, COLD_MS)
    told = cold is not None and cold.isdigit()
    server = None if instance is None else instance.decode('latin-1')
    return HealthReport(
        healthy=message.status == OK_STATUS,
        server_id=None if server is None else ServerId(server),
        cold_left=Seconds(int(cold or 0) / MS_PER_SECOND) if told else None,
        load=parse_load(message.headers),
    )


def parse_load(headers: Headers) -> LoadReport | None:
    """Read a server's load; None where it tells none.

    Args:
        headers: The header fields of its answer.
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
