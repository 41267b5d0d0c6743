"""Arguments, options and helpers that several subcommands share."""

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
MoveArgument = Annotated[str, typer.Argument(help='The id of the move.')]
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
RequestIdOption = Annotated[
    str,
    typer.Option(
        '--id',
        default_factory=lambda: uuid.uuid4().hex,
        show_default=False,
        help='Names the request; asking again under its name is harmless.',
    ),
]

DEFAULT_ADMIN = 'http://127.0.0.1:7070'


def print_response(
    response: Json, format_text: Callable[[Json], str], *, as_json: bool
) -> None:
    """Print a response as readable text or as one line of JSON.

    Args:
        response: Body of the response.
        format_text: Formats the body as readable text.
        as_json: Whether to print JSON.
    """
    typer.echo(json.dumps(response) if as_json else format_text(response))


def read_json(path: Path) -> Json:
    """Read a JSON object from a file; print the error and exit if it fails.

    Args:
        path: Path of the file.

    Raises:
        typer.Exit: The file can't be read or is not a JSON object.
    """
    try:
        content = json.loads(path.read_bytes())
    except OSError as error:
        exit_bad_input(f'{path}: {error.strerror}', error)
    except (ValueError, RecursionError) as error:
        exit_bad_input(f'{path}: $: {error}', error)
    if not isinstance(content, dict):
        exit_bad_input(f'{path}: $: is not a JSON object')
    return dict(content)


def exit_bad_input(reason: str, error: Exception | None = None) -> NoReturn:
    """Print why the input is invalid, and exit.

    Args:
        reason: What is wrong, in one line.
        error: The exception that caused the exit, if any.

    Raises:
        typer.Exit: Always, with the exit code for invalid input.
    """
    typer.echo(reason, err=True)
    raise typer.Exit(ExitCode.BAD_INPUT) from error
