"""The platform's header fields."""

from ebonystream._calls import Header, Headers

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

HOP_BY_HOP_HEADERS = frozenset(
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
PROTECTED_HEADERS = frozenset((b'close', b'host', ATTEMPT_ID))
"""Fields that stay, whatever `Connection` names as the connection's own."""


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


def drop_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Drop fields, and those that concern the connection alone.

    Args:
        headers: Header fields, their names in lower case.
        names: The names of the fields to drop.
    """
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
    return frozenset(names) - PROTECTED_HEADERS
