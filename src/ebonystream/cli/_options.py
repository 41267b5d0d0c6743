"""Arguments and options that several subcommands share."""

import json
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from ebonystream.cli._client import Json
from ebonystream.cli._exit import ExitCode

SettingsPath = Annotated[Path, typer.Argument(help='The settings file, JSON.')]
ListsPath = Annotated[Path, typer.Argument(help='Both lists, JSON.')]
MoveName = Annotated[str, typer.Argument(help='The id of the move.')]
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
RequestName = Annotated[
    str,
    typer.Option(
        '--id',
        default_factory=lambda: uuid.uuid4().hex,
        show_default=False,
        help='Names the request; asking again under its name is harmless.',
    ),
]

DEFAULT_ADMIN = 'http://127.0.0.1:7070'


def print_answer(
    told: Json, spell: Callable[[Json], str], *, as_json: bool
) -> None:
    """Print an answer for people, or as one line of JSON.

    Args:
        told: The answer.
        spell: Spells it for people.
        as_json: Whether to print JSON.
    """
    typer.echo(json.dumps(told) if as_json else spell(told))


def read_json(path: Path) -> Json:
    """Read a JSON object, or end the command with a line that says why not.

    Args:
        path: Where the file is.
    """
    try:
        found = json.loads(path.read_bytes())
    except OSError as error:
        fail(f'{path}: {error.strerror}', error)
    except (ValueError, RecursionError) as error:
        fail(f'{path}: $: {error}', error)
    if not isinstance(found, dict):
        fail(f'{path}: $: is not a JSON object')
    return dict(found)


def fail(reason: str, error: Exception | None = None) -> NoReturn:
    """End the command: its input is faulty.

    Args:
        reason: What is wrong, in one line.
        error: What found it.
    """
    typer.echo(reason, err=True)
    raise typer.Exit(ExitCode.BAD_INPUT) from error
