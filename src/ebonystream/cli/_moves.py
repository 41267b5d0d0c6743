"""The subcommands for moves."""

import time
from datetime import datetime, timedelta
from typing import Annotated

import typer

from ebonystream.cli._client import AdminClient
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    MoveName,
    RequestName,
    fail,
    print_answer,
)
from ebonystream.cli._reading import add_reading
from ebonystream.cli._spelling import spell_move, spell_moves
from ebonystream.cli._watching import Surroundings, watch_move

moves = typer.Typer(
    no_args_is_help=True,
    help='Ask for, watch, take back and report on moves.',
)

ZoneArgument = Annotated[str, typer.Argument(help='The availability zone.')]
Moved = Annotated[
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


def _add_zone_move(command: str, direction: str, *, purpose: str) -> None:
    def move_zone(
        zone: ZoneArgument,
        name: RequestName,
        admin: Admin = DEFAULT_ADMIN,
        key: Key = None,
        as_json: AsJson = False,
    ) -> None:
        body = {'id': name, 'zone': zone, 'direction': direction}
        told = AdminClient(admin, key).ask('/v1/moves/zones', body)
        print_answer(told, spell_move, as_json=as_json)

    moves.command(command, help=purpose)(move_zone)


_add_zone_move(
    'zone-out', 'out', purpose='Take a zone out: it gets no new work.'
)
_add_zone_move(
    'zone-back', 'back', purpose='Bring a zone back: its servers count as cold.'
)


@moves.command('version')
def move_version(
    moved: Moved,
    finish_by: FinishBy,
    name: RequestName,
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
        'finish_by': _find_time(finish_by),
    }
    told = AdminClient(admin, key).ask('/v1/moves/versions', body)
    print_answer(told, spell_move, as_json=as_json)


add_reading(
    moves,
    'list',
    '/v1/moves',
    spell_moves,
    purpose='List open moves and the latest closed ones.',
)


@moves.command('report')
def report_move(
    move: MoveName,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Report on a move."""
    told = AdminClient(admin, key).read(f'/v1/moves/{move}')
    print_answer(told, spell_move, as_json=as_json)


@moves.command('take-back')
def take_back(
    move: MoveName,
    name: RequestName,
    reason: Reason = 'an operator took it back',
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Take an open move back."""
    body = {'id': name, 'reason': reason}
    told = AdminClient(admin, key).ask(f'/v1/moves/{move}/take-back', body)
    print_answer(told, spell_move, as_json=as_json)


@moves.command('watch')
def watch(
    move: MoveName,
    timeout: Timeout = None,
    admin: Admin = DEFAULT_ADMIN,
    key: Key = None,
    as_json: AsJson = False,
) -> None:
    """Watch a move until it is closed; progress goes to standard error."""
    client = AdminClient(admin, key)
    around = Surroundings(
        read=lambda: client.try_read(f'/v1/moves/{move}'),
        say=lambda line: typer.echo(line, err=True),
        wait=time.sleep,
        now=time.monotonic,
    )
    report, exit_code = watch_move(around, timeout)
    if report is not None:
        print_answer(report, spell_move, as_json=as_json)
    raise typer.Exit(exit_code)


def _find_time(text: str) -> str:
    if not text.startswith('+'):
        return text
    try:
        ahead = timedelta(seconds=float(text))
        return (datetime.now().astimezone() + ahead).isoformat()
    except (ValueError, OverflowError) as error:
        fail(f'--finish-by {text}: {error}', error)
