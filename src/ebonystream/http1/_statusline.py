"""Rules on the status line of a response that parsers do not check."""

from ebonystream.errors import EbonystreamError, ErrorKind

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
"""RFC 9110, section 15: valid status codes are from 100 to 599."""

FINAL_STATUSES = range(FIRST_FINAL_STATUS, LAST_STATUS + 1)

VERSIONS = frozenset(('1.0', '1.1'))
"""RFC 9112, section 2.3: other major versions have another message format."""


def is_informational(status: int) -> bool:
    """Return whether a final response follows one with this status code.

    Args:
        status: Status code; 0 in a request.
    """
    return FIRST_STATUS <= status < FIRST_FINAL_STATUS


def find_status_line_error(
    version: str, status: int
) -> EbonystreamError | None:
    """Return the error in a status line; None if it is valid.

    Args:
        version: Version of HTTP, such as `1.1`.
        status: Status code.
    """
    if version not in VERSIONS:
        return _make_error(f'HTTP version {version}')
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return _make_error(f'status code {status:03}')
    return None


def _make_error(detail: str) -> EbonystreamError:
    return EbonystreamError(ErrorKind.MALFORMED_REQUEST, detail)
