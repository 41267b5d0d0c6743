"""Subcommands that send one GET request and print the response."""

from collections.abc import Callable

import typer

from ebonystream.cli._client import AdminClient, Json
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    print_response,
)

FormatText = Callable[[Json], str]
"""Format a response body as readable text."""


def add_get_command(
    commands: typer.Typer,
    name: str,
    path: str,
    format_text: FormatText,
    *,
    help_text: str,
) -> None:
    """Add a subcommand that requests one path and has no arguments.

    Args:
        commands: Group to add the subcommand to.
        name: Name of the subcommand.
        path: Path to request, beginning with `/v1`.
        format_text: Formats the response body as readable text.
        help_text: Help text of the subcommand.
    """

    def read(
        admin: Admin = DEFAULT_ADMIN, key: Key = None, as_json: AsJson = False
    ) -> None:
        response = AdminClient(admin, key).get(path)
        print_response(response, format_text, as_json=as_json)

    commands.command(name, help=help_text)(read)
