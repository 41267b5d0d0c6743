"""A request as a front end hands it over, before any plan is looked at."""

import attrs

from ebonystream._calls import Header, Headers
from ebonystream._ids import Monotonic

CUSTOMER_HEADER = b'x-customer'
KEY_HEADER = b'idempotency-key'
TIMEOUT_HEADER = b'x-timeout-ms'


@attrs.frozen(kw_only=True)
class Received:
    """One whole request of a caller.

    Attributes:
        method: The HTTP method.
        target: The path with its query.
        headers: End-to-end header fields, names in lower case.
        body: The whole body.
        at: When its last byte came.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    at: Monotonic

    def find_header(self, name: bytes) -> bytes | None:
        """Give the value of the first header of that name, if any.

        Args:
            name: The header's name in lower case.
        """
        return next(iter(self.find_headers(name)), None)

    def find_headers(self, name: bytes) -> tuple[bytes, ...]:
        """Give the values of all headers of that name.

        Args:
            name: The header's name in lower case.
        """
        return tuple(_pick(self.headers, name))


def _pick(headers: Headers, name: bytes) -> list[bytes]:
    return [header[1] for header in headers if _is_named(header, name)]


def _is_named(header: Header, name: bytes) -> bool:
    return header[0] == name
