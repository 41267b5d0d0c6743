"""Checks of responses that were read by httpx."""

import httpx

from ebonystream.http1 import find_status_line_error

VERSION_PREFIX = 'HTTP/'


def check_status_line(response: httpx.Response) -> None:
    """Refuse a response whose status line is malformed.

    Args:
        response: The response.

    Raises:
        httpx.RemoteProtocolError: The version of HTTP or the status code is
            not a valid one.
    """
    version = response.http_version.removeprefix(VERSION_PREFIX)
    error = find_status_line_error(version, response.status_code)
    if error is not None:
        raise httpx.RemoteProtocolError(error.detail)
