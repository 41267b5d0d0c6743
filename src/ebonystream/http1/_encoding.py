"""Encode requests and responses."""

from collections.abc import Iterable
from http import HTTPStatus
from types import MappingProxyType

from ebonystream._calls import Header

CRLF = b'\r\n'
REASON_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a request.

    Args:
        method: Request method.
        target: Path with the query string.
        headers: Header fields without content-length, which is added here.
        body: The complete body.
    """
    return _encode(b'%b %b HTTP/1.1' % (method, target), headers, body)


def encode_response(
    status: int, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a response.

    Args:
        status: Status code.
        headers: Header fields without content-length, which is added here.
        body: The complete body.
    """
    phrase = REASON_PHRASES.get(status, '').encode()
    return _encode(b'HTTP/1.1 %d %b' % (status, phrase), headers, body)


def _encode(start_line: bytes, headers: Iterable[Header], body: bytes) -> bytes:
    lines = [start_line]
    lines.extend(b'%b: %b' % field for field in headers)
    lines.append(b'content-length: %d' % len(body))
    head = CRLF.join(lines)
    # A line break within a field would allow header injection.
    assert head.count(b'\n') == len(lines) - 1, (
        'header field contains a line break'
    )
    return b'%b\r\n\r\n%b' % (head, body)
