"""A request of a caller, not yet checked against a plan."""

import attrs

from ebonystream._calls import Header, Headers
from ebonystream._ids import Monotonic

CUSTOMER_HEADER = b'x-customer'
KEY_HEADER = b'idempotency-key'
TIMEOUT_HEADER = b'x-timeout-ms'


@attrs.frozen(kw_only=True)
class CallRequest:
    """A complete request as received from a caller.

    Attributes:
        method: The HTTP method, such as ``GET``.
        target: Path with the query string.
        headers: End-to-end header fields, with names in lower case.
        body: Complete body.
        received_at: When the last byte arrived, on the monotonic clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: Monotonic

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of the first header field with a name, if any.

        Args:
            name: Name of the header field, in lower case.
        """
        return next(iter(self.find_headers(name)), None)

    def find_headers(self, name: bytes) -> tuple[bytes, ...]:
        """Return the values of all header fields with a name.

        Args:
            name: Name of the header field, in lower case.
        """
        return tuple(_select_values(self.headers, name))


def _select_values(headers: Headers, name: bytes) -> list[bytes]:
    return [header[1] for header in headers if _has_name(header, name)]


def _has_name(header: Header, name: bytes) -> bool:
    return header[0] == name
