"""Spelling of requests and responses."""

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
    """Spell a request.

    Args:
        method: The method.
        target: The path with its query.
        headers: Header fields; its framing is added here.
        body: The whole body.
    """
    return _spell(b'%b %b HTTP/1.1' % (method, target), headers, body)


def encode_response(
    status: int, headers: Iterable[Header], body: bytes
) -> bytes:
    """Spell a response.

    Args:
        status: The status.
        headers: Header fields; its framing is added here.
        body: The whole body.
    """
    phrase = REASON_PHRASES.get(status, '').encode()
    return _spell(b'HTTP/1.1 %d %b' % (status, phrase), headers, body)


def _spell(first: bytes, headers: Iterable[Header], body: bytes) -> bytes:
    lines = [first]
    lines.extend(b'%b: %b' % field for field in headers)
    lines.append(b'content-length: %d' % len(body))
    head = CRLF.join(lines)
    # A line end within a field would let its sender spell further fields.
    assert head.count(b'\n') == len(lines) - 1, 'a field holds a line end'
    return b'%b\r\n\r\n%b' % (head, body)
