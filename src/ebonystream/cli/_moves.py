"""The subcommands for moves."""

import time
from datetime import datetime, timedelta
from typing import Annotated

import typer

from ebonystream.cli._client import AdminClient
from ebonystream.cli._formatting import format_move, format_moves
from ebonystream.cli._get_commands import add_get_command
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    MoveArgument,
    RequestIdOption,
    exit_bad_input,
    print_response,
)
from ebonystream.cli._watching import WatchEnvironment, watch_move

moves = typer.Typer(
    no_args_is_help=True,
    help='Ask for, watch, take back and report on moves.',
)

ZoneArgument = Annotated[str, typer.Argument(help='The availability zone.')]
VersionsArgument = Annotated[
    tuple[str, str, str],
    typer.Argument(
        metavar='SERVICE FROM TO',
        help='The service, its version now, and the one that takes over.',
    ),
]
FinishBy = Annotated[
    str,
    typer.Option(
        help='When to be finished: ISO 8601 with its UTC offset, '
        'or +SECONDS from now.'
    ),
]
Reason = Annotated[str, typer.Option(help='Why, for the report.')]
Timeout = Annotated[
    float | None, typer.Option(min=0, help='Seconds to watch at most.')
]


def _add_zone_move(command: str, direction: str, *, help_text: str) -> None:
    def move_zone(
        zone: ZoneArgument,
        name: RequestIdOption,
        admin: Admin = DEFAULT_ADMIN,
        key: Key = None,
        as_json: AsJson = False,
    ) -> None:
        body = {'id': name, 'zone': zone, 'direction': direction}
        response = AdminClient(admin, key).post('/v1/moves/zones', body)
        print_response(response, format_move, as_json=as_json)

    moves.command(command, help=help_text)(move_zone)


_add_zone_move(
    'zone-out', 'out', help_text='Take a zone out: it gets no new work.'
)
_add_zone_move(
    'zone-back',
    'back',
    help_text='Bring a zone back: its servers count as cold.',
)


@moves.command('version')
def move_version(
    moved: VersionsArgument,
    finish_by: FinishBy,
    name: RequestIdOption,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Move the traffic of a service to another version by a given time."""
    service, from_version, to_version = moved
    body = {
        'id': name,
        'service': service,
        'from_version': from_version,
        'to_version': to_version,
        'finish_by': _convert_to_iso(finish_by),
    }
    response = AdminClient(admin, key).post('/v1/moves/versions', body)
    print_response(response, format_move, as_json=as_json)


add_get_command(
    moves,
    'list',
    '/v1/moves',
    format_moves,
    help_text='List open moves and the latest closed ones.',
)


@moves.command('report')
def report_move(
    move: MoveArgument,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Report on a move."""
    response = AdminClient(admin, key).get(f'/v1/moves/{move}')
    print_response(response, format_move, as_json=as_json)


@moves.command('take-back')
def take_back(
    move: MoveArgument,
    name: RequestIdOption,
    reason: Reason = 'an operator took it back',
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Take an open move back."""
    body = {'id': name, 'reason': reason}
    response = AdminClient(admin, key).post(f'/v1/moves/{move}/take-back', body)
    print_response(response, format_move, as_json=as_json)


@moves.command('watch')
def watch(
    move: MoveArgument,
    timeout: Timeout = None,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Watch a move until it is closed; progress goes to standard error."""
    client = AdminClient(admin, key)
    environment = WatchEnvironment(
        read_report=lambda: client.try_get(f'/v1/moves/{move}'),
        print_progress=lambda line: typer.echo(line, err=True),
        sleep=time.sleep,
        now=time.monotonic,
    )
    report, exit_code = watch_move(environment, timeout)
    if report is not None:
        print_response(report, format_move, as_json=as_json)
    raise typer.Exit(exit_code)


def _convert_to_iso(text: str) -> str:
    if not text.startswith('+'):
        return text
    try:
        delay = timedelta(seconds=float(text))
        return (datetime.now().astimezone() + delay).isoformat()
    except (ValueError, OverflowError) as error:
        exit_bad_input(f'--finish-by {text}: {error}', error)
