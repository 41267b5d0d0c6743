"""Client of the administration API, which maps failures to exit codes."""

from typing import Any

import attrs
import httpx
import typer

from ebonystream._responsecheck import check_status_line
from ebonystream.cli._exit import ExitCode

TIMEOUT_SECONDS = 30
FIRST_ERROR_STATUS = 400

UNSENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.UnsupportedProtocol,
)
"""Exceptions after which the request was certainly not sent."""

Json = dict[str, Any]
"""A JSON object of the API."""


class AdminError(Exception):
    """A request failed, was refused or got an invalid response.

    Attributes:
        exit_code: Exit code of the command.
    """

    def __init__(self, reason: str, exit_code: ExitCode) -> None:
        super().__init__(reason)
        self.exit_code = exit_code


@attrs.frozen
class AdminClient:
    """Client of the administration API of one entry host.

    Attributes:
        base_url: Base URL of the API.
        key: Administration key; None if the host requires none.
    """

    base_url: str
    key: str | None

    def get(self, path: str) -> Json:
        """Send a GET request; print the error and exit if it fails.

        Args:
            path: Path, beginning with `/v1`.

        Raises:
            typer.Exit: The request failed or was refused.
        """
        return self._send_or_exit('GET', path, None)

    def post(self, path: str, body: Json) -> Json:
        """Send a POST request; print the error and exit if it fails.

        Args:
            path: Path, beginning with `/v1`.
            body: JSON body, with the id of the request.

        Raises:
            typer.Exit: The request failed or was refused.
        """
        return self._send_or_exit('POST', path, body)

    def try_get(self, path: str) -> Json:
        """Send a GET request.

        Args:
            path: Path, beginning with `/v1`.

        Raises:
            AdminError: The request failed or was refused.
        """
        return send_request(self, 'GET', path, None)

    def _send_or_exit(self, method: str, path: str, body: Json | None) -> Json:
        try:
            return send_request(self, method, path, body)
        except AdminError as error:
            typer.echo(f'{error}{_format_request_id(error, body)}', err=True)
            raise typer.Exit(error.exit_code) from error


def send_request(
    client: AdminClient, method: str, path: str, body: Json | None
) -> Json:
    """Send one request to the administration API.

    Args:
        client: Base URL and key of the API.
        method: HTTP method.
        path: Path, beginning with `/v1`.
        body: JSON body, if any.

    Raises:
        AdminError: The request failed or was refused.
    """
    headers: dict[bytes, bytes] = {}
    if client.key is not None:
        headers[b'authorization'] = f'Bearer {client.key}'.encode()
    try:
        response = httpx.request(
            method,
            f'{client.base_url}{path}',
            json=body,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
        )
        check_status_line(response)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        reason = f'{client.base_url}: {error!r}'
        raise AdminError(reason, _get_failure_code(error, body)) from error
    return _parse_response(client, response, body)


def _format_request_id(error: AdminError, body: Json | None) -> str:
    if body is None or error.exit_code is not ExitCode.UNKNOWN:
        return ''
    return f' (--id {body["id"]})'


def _get_failure_code(error: Exception, body: Json | None) -> ExitCode:
    if body is None or isinstance(error, UNSENT_ERRORS):
        return ExitCode.UNREACHABLE
    return ExitCode.UNKNOWN


def _parse_response(
    client: AdminClient, response: httpx.Response, body: Json | None
) -> Json:
    try:
        content = response.json()
        if response.status_code < FIRST_ERROR_STATUS:
            return dict(content)
        reason = f'{content["error"]}: {content["detail"]}. {content["advice"]}'
        exit_code = _get_refusal_code(content['outcome'])
    except (ValueError, KeyError, TypeError) as error:
        reason = (
            f'{client.base_url}: status {response.status_code}, no known answer'
        )
        failure = AdminError(reason, _get_failure_code(error, body))
        raise failure from error
    raise AdminError(reason, exit_code)


def _get_refusal_code(outcome: str) -> ExitCode:
    return ExitCode.UNKNOWN if outcome == 'unknown' else ExitCode.REFUSED
