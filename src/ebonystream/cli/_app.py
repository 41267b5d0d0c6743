"""The command line application and its subcommands."""

import sys
from typing import Annotated

import trio
import typer

from ebonystream.cli._client import AdminClient
from ebonystream.cli._exit import ExitCode
from ebonystream.cli._explaining import explain
from ebonystream.cli._formatting import (
    format_backends,
    format_hosts,
    format_lists,
    format_status,
    format_versions,
)
from ebonystream.cli._get_commands import add_get_command
from ebonystream.cli._moves import moves
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    ListsPath,
    RequestIdOption,
    SettingsPath,
    print_response,
    read_json,
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
    host_settings = _read_settings_or_exit(settings)
    start_logs(sys.stdout.buffer)
    trio.run(run_entry_host, host_settings)


@app.command()
def check(settings: SettingsPath) -> None:
    """Check a settings file and start nothing."""
    host = _read_settings_or_exit(settings).host
    typer.echo(f'{settings}: good, host {host.id} in zone {host.zone}')


@app.command()
def publish(
    lists: ListsPath,
    name: RequestIdOption,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    based_on: BasedOn = None,
    as_json: AsJson = False,
) -> None:
    """Publish the customers' plans and what each plan may use."""
    client = AdminClient(admin, key)
    content = read_json(lists)
    if based_on is None:
        based_on = client.get(LISTS_PATH)['version']
    body = {'id': name, 'based_on': based_on, 'lists': content}
    response = client.post(LISTS_PATH, body)
    print_response(
        response,
        lambda published: f'version {published["version"]} is accepted',
        as_json=as_json,
    )


add_get_command(
    app, 'show', LISTS_PATH, format_lists, help_text='Show the lists in force.'
)
add_get_command(
    app,
    'status',
    '/v1/status',
    format_status,
    help_text='Show how the entry host that is asked stands.',
)
add_get_command(
    app,
    'hosts',
    '/v1/hosts',
    format_hosts,
    help_text='Show every live entry host.',
)
add_get_command(
    app,
    'backends',
    '/v1/backends',
    format_backends,
    help_text='Show every backend server.',
)
add_get_command(
    app,
    'versions',
    '/v1/versions',
    format_versions,
    help_text='Show the versions of every service.',
)


app.command()(explain)


def _read_settings_or_exit(path: SettingsPath) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.BAD_INPUT) from error
