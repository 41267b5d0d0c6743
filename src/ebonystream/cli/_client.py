"""Asks the administration API and turns failures into exit codes."""

from typing import Any

import httpx
import typer

from ebonystream.cli._exit import ExitCode

TIMEOUT_SECONDS = 30
FIRST_ERROR_STATUS = 400


def ask_admin(
    admin: str,
    key: str | None,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Ask the administration API; a failure ends the command.

    Args:
        admin: The base address of the API.
        key: The administration key, if the host asks for one.
        method: The HTTP method.
        path: The path, from `/v1` on.
        body: The JSON body, if any.
    """
    headers = {} if key is None else {'authorization': f'Bearer {key}'}
    try:
        answer = httpx.request(
            method,
            f'{admin}{path}',
            json=body,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
        )
    except httpx.HTTPError as error:
        typer.echo(f'{admin}: {error!r}', err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    told = answer.json()
    if answer.status_code >= FIRST_ERROR_STATUS:
        typer.echo(f'{told["error"]}: {told["detail"]}', err=True)
        typer.echo(told['advice'], err=True)
        raise typer.Exit(_choose_exit(told['outcome']))
    return dict(told)


def _choose_exit(outcome: str) -> ExitCode:
    return ExitCode.UNKNOWN if outcome == 'unknown' else ExitCode.REFUSED
