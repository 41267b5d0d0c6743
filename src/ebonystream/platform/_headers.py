"""Names of the platform's header fields, and functions on headers."""

from ebonystream._calls import Header, Headers

ATTEMPT_ID = b'ebonystream-attempt-id'
DEADLINE_MS = b'ebonystream-deadline-ms'
EXPECTED_INSTANCE = b'ebonystream-expected-instance'
RESPONSE_SEAL = b'ebonystream-response-seal'
NOT_EXECUTED = b'ebonystream-not-executed'
SERVER_LOAD = b'ebonystream-server-load'
"""Running requests, waiting requests, slots and, optionally, pace.

The pace is the current service time in percent of the usual one.
"""

INSTANCE_ID = b'ebonystream-instance-id'
COLD_MS = b'ebonystream-cold-ms'
SERVER_LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
AUTHORIZATION = b'authorization'
AUTHENTICATE = b'www-authenticate'
WORKSPACE = b'ebonystream-tenant'
ACCESS_HEADERS = frozenset((AUTHORIZATION, WORKSPACE))
"""Fields that tell who a caller is."""

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
"""Names that are never hop-by-hop, even if `Connection` lists them.

`close` is an option of the connection and not the name of a field.
"""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field with a name, or None.

    Args:
        headers: Header fields, with names in lower case.
        name: The name of the field, in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def drop_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Drop the named fields and those that `Connection` lists.

    Args:
        headers: Header fields, with names in lower case.
        names: Names of the fields to drop, in lower case.
    """
    hop_by_hop = _parse_connection(headers)
    kept: list[Header] = []
    for header in headers:
        if header[0] not in names and header[0] not in hop_by_hop:
            kept.append(header)
    return tuple(kept)


def drop_access_headers(headers: Headers) -> Headers:
    """Drop the fields that tell who a caller is.

    Some servers read underscores in names as hyphens.

    Args:
        headers: Header fields, with names in lower case.
    """
    return tuple(
        header
        for header in headers
        if header[0].replace(b'_', b'-') not in ACCESS_HEADERS
    )


def _parse_connection(headers: Headers) -> frozenset[bytes]:
    """Return the names of the fields that `Connection` lists as hop-by-hop."""
    value = find_header(headers, b'connection') or b''
    names = (part.strip().lower() for part in value.split(b','))
    return frozenset(names) - PROTECTED_HEADERS
