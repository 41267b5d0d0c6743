"""Asks the administration API and turns failures into exit codes."""

from typing import Any

import attrs
import httpx
import typer

from ebonystream.cli._exit import ExitCode

TIMEOUT_SECONDS = 30
FIRST_ERROR_STATUS = 400

BEFORE_SENDING = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.UnsupportedProtocol,
)
"""Failures after which nothing was asked."""

Json = dict[str, Any]
"""A JSON object, as the API spells it."""


class AdminError(Exception):
    """An answer that is none, or a refusal.

    Attributes:
        exit_code: What the command ends with.
    """

    def __init__(self, reason: str, exit_code: ExitCode) -> None:
        super().__init__(reason)
        self.exit_code = exit_code


@attrs.frozen
class AdminClient:
    """Where the administration API is.

    Attributes:
        admin: Its base address.
        key: The administration key, if the host asks for one.
    """

    admin: str
    key: str | None

    def read(self, path: str) -> Json:
        """Read something, or end the command with a line that says why not.

        Args:
            path: The path, from `/v1` on.
        """
        return self._run('GET', path, None)

    def ask(self, path: str, body: Json) -> Json:
        """Ask for something, or end the command with a line that says why not.

        Args:
            path: The path, from `/v1` on.
            body: The JSON body.
        """
        return self._run('POST', path, body)

    def try_read(self, path: str) -> Json:
        """Read something.

        Args:
            path: The path, from `/v1` on.

        Raises:
            AdminError: There is no answer, or a refusal.
        """
        return send(self, 'GET', path, None)

    def _run(self, method: str, path: str, body: Json | None) -> Json:
        try:
            return send(self, method, path, body)
        except AdminError as error:
            typer.echo(f'{error}{_name_request(error, body)}', err=True)
            raise typer.Exit(error.exit_code) from error


def send(
    client: AdminClient, method: str, path: str, body: Json | None
) -> Json:
    """Send one request to the administration API.

    Args:
        client: Where it is.
        method: The HTTP method.
        path: The path, from `/v1` on.
        body: The JSON body, if any.

    Raises:
        AdminError: There is no answer, or a refusal.
    """
    headers: dict[bytes, bytes] = {}
    if client.key is not None:
        headers[b'authorization'] = f'Bearer {client.key}'.encode()
    try:
        answer = httpx.request(
            method,
            f'{client.admin}{path}',
            json=body,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        reason = f'{client.admin}: {error!r}'
        raise AdminError(reason, _choose_failure(error, body)) from error
    return _read_answer(client, answer, body)


def _name_request(error: AdminError, body: Json | None) -> str:
    if body is None or error.exit_code is not ExitCode.UNKNOWN:
        return ''
    return f' (--id {body["id"]})'


def _choose_failure(error: Exception, body: Json | None) -> ExitCode:
    if body is None or isinstance(error, BEFORE_SENDING):
        return ExitCode.UNREACHABLE
    return ExitCode.UNKNOWN


def _read_answer(
    client: AdminClient, answer: httpx.Response, body: Json | None
) -> Json:
    try:
        told = answer.json()
        if answer.status_code < FIRST_ERROR_STATUS:
            return dict(told)
        reason = f'{told["error"]}: {told["detail"]}. {told["advice"]}'
        exit_code = _choose_refusal(told['outcome'])
    except (ValueError, KeyError, TypeError) as error:
        reason = f'{client.admin}: status {answer.status_code}, no known answer'
        unknown = AdminError(reason, _choose_failure(error, body))
        raise unknown from error
    raise AdminError(reason, exit_code)


def _choose_refusal(outcome: str) -> ExitCode:
    return ExitCode.UNKNOWN if outcome == 'unknown' else ExitCode.REFUSED
