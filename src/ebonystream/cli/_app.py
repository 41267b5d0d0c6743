"""The subcommands."""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import trio
import typer

from ebonystream.cli._client import ask_admin
from ebonystream.cli._exit import ExitCode
from ebonystream.composition import run_entry_host
from ebonystream.observation import start_logs
from ebonystream.settings import Settings, SettingsError, read_settings

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help='Run an entry host, and operate a running system.',
)

SettingsPath = Annotated[Path, typer.Argument(help='The settings file, JSON.')]
Admin = Annotated[
    str,
    typer.Option(
        help='Base address of an administration API.',
        envvar='EBONYSTREAM_ADMIN',
    ),
]
Key = Annotated[
    str | None,
    typer.Option(
        help='The administration key.', envvar='EBONYSTREAM_ADMIN_KEY'
    ),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]

DEFAULT_ADMIN = 'http://127.0.0.1:7070'


@app.command()
def run(settings: SettingsPath) -> None:
    """Run one entry host until SIGTERM or SIGINT."""
    checked = _read(settings)
    start_logs(sys.stdout.buffer)
    trio.run(run_entry_host, checked)


@app.command()
def check(settings: SettingsPath) -> None:
    """Check a settings file and start nothing."""
    host = _read(settings).host
    typer.echo(f'{settings}: good, host {host.id} in zone {host.zone}')


@app.command()
def publish(
    lists: Annotated[Path, typer.Argument(help='Both lists, JSON.')],
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    based_on: Annotated[
        int | None,
        typer.Option(help='Version that was read; the current one if left out'),
    ] = None,
) -> None:
    """Publish the customers' plans and what each plan may use."""
    body = _read_json(lists)
    if based_on is None:
        based_on = ask_admin(admin, key, 'GET', '/v1/lists')['version']
    told = ask_admin(
        admin, key, 'POST', '/v1/lists', {'based_on': based_on, 'lists': body}
    )
    typer.echo(f'version {told["version"]} is accepted')


@app.command()
def show(
    admin: Admin = DEFAULT_ADMIN, key: Key = None, as_json: AsJson = False
) -> None:
    """Show the lists in force."""
    told = ask_admin(admin, key, 'GET', '/v1/lists')
    typer.echo(json.dumps(told, indent=None if as_json else 2))


@app.command()
def status(
    admin: Admin = DEFAULT_ADMIN, key: Key = None, as_json: AsJson = False
) -> None:
    """Show how an entry host and its backend servers stand."""
    told = ask_admin(admin, key, 'GET', '/v1/status')
    typer.echo(json.dumps(told, indent=None if as_json else 2))


def _read(path: Path) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.BAD_INPUT) from error


def _read_json(path: Path) -> dict[str, Any]:
    try:
        found = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        typer.echo(f'{path}: {error}', err=True)
        raise typer.Exit(ExitCode.BAD_INPUT) from error
    if not isinstance(found, dict):
        typer.echo(f'{path}: is not a JSON object', err=True)
        raise typer.Exit(ExitCode.BAD_INPUT)
    return found
