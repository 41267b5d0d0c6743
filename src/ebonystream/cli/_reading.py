"""Subcommands that only read: ask for one path and print the answer."""

from collections.abc import Callable

import typer

from ebonystream.cli._client import AdminClient, Json
from ebonystream.cli._options import (
    DEFAULT_ADMIN,
    Admin,
    AsJson,
    Key,
    print_answer,
)

Spell = Callable[[Json], str]
"""Spells an answer for people."""


def add_reading(
    commands: typer.Typer, name: str, path: str, spell: Spell, *, purpose: str
) -> None:
    """Add a subcommand that reads one path and takes no arguments.

    Args:
        commands: Where the subcommand goes.
        name: What the subcommand is called.
        path: What it reads, from `/v1` on.
        spell: Spells the answer for people.
        purpose: Its help text.
    """

    def read(
        admin: Admin = DEFAULT_ADMIN, key: Key = None, as_json: AsJson = False
    ) -> None:
        told = AdminClient(admin, key).read(path)
        print_answer(told, spell, as_json=as_json)

    commands.command(name, help=purpose)(read)
