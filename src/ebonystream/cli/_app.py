"""The subcommands."""

import sys
from typing import Annotated

import trio
import typer

from ebonystream.cli._client import AdminClient
from ebonystream.cli._exit import ExitCode
from ebonystream.cli._moves import moves
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    ListsPath,
    RequestName,
    SettingsPath,
    print_answer,
    read_json,
)
from ebonystream.cli._reading import add_reading
from ebonystream.cli._spelling import (
    spell_backends,
    spell_hosts,
    spell_lists,
    spell_status,
    spell_versions,
)
from ebonystream.composition import run_entry_host
from ebonystream.observation import start_logs
from ebonystream.settings import Settings, SettingsError, read_settings

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help='Run an entry host, and operate a running system.',
)
app.add_typer(moves, name='move')

LISTS_PATH = '/v1/lists'

BasedOn = Annotated[
    int | None,
    typer.Option(help='Version that was read; the current one if left out.'),
]


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
    lists: ListsPath,
    name: RequestName,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    based_on: BasedOn = None,
    as_json: AsJson = False,
) -> None:
    """Publish the customers' plans and what each plan may use."""
    client = AdminClient(admin, key)
    body = read_json(lists)
    if based_on is None:
        based_on = client.read(LISTS_PATH)['version']
    asked = {'id': name, 'based_on': based_on, 'lists': body}
    told = client.ask(LISTS_PATH, asked)
    print_answer(
        told,
        lambda made: f'version {made["version"]} is accepted',
        as_json=as_json,
    )


add_reading(
    app, 'show', LISTS_PATH, spell_lists, purpose='Show the lists in force.'
)
add_reading(
    app,
    'status',
    '/v1/status',
    spell_status,
    purpose='Show how the entry host that is asked stands.',
)
add_reading(
    app,
    'hosts',
    '/v1/hosts',
    spell_hosts,
    purpose='Show every live entry host.',
)
add_reading(
    app,
    'backends',
    '/v1/backends',
    spell_backends,
    purpose='Show every backend server.',
)
add_reading(
    app,
    'versions',
    '/v1/versions',
    spell_versions,
    purpose='Show the versions of every service.',
)


def _read(path: SettingsPath) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.BAD_INPUT) from error
