"""Reads a settings file and names every fault in it."""

from pathlib import Path

import attrs
from pydantic import ValidationError

from ebonystream.settings._settings import Settings


@attrs.frozen
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        path: The JSON path of the fault, such as ``$.callers.port``.
        reason: What is wrong there.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Spell the fault as one line."""
        return ''.join(map(_escape, f'{self.path}: {self.reason}'))


class SettingsError(Exception):
    """A settings file that can't be used.

    Attributes:
        faults: Everything that is wrong with it.
    """

    def __init__(self, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__('; '.join(map(str, faults)))
        self.faults = faults


def name_faults(error: ValidationError) -> tuple[SettingsFault, ...]:
    """List the faults that a checker of JSON found, each with its path."""
    return tuple(
        SettingsFault(
            path='.'.join(('$', *map(str, fault['loc']))),
            reason=fault['msg'],
        )
        for fault in error.errors()
    )


def _escape(letter: str) -> str:
    # A key of the file may hold a line break or codes for a terminal.
    return letter if letter.isprintable() else repr(letter)[1:-1]


def read_settings(path: Path) -> Settings:
    """Read and check the settings of an entry host.

    Args:
        path: Where the JSON file is.

    Raises:
        SettingsError: The file is missing, is not JSON, or has faults; all
            of them are listed.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = f'{path}: {error.strerror}'
        raise SettingsError((SettingsFault('$', reason),)) from error
    try:
        return Settings.model_validate_json(text, strict=True)
    except ValidationError as error:
        raise SettingsError(name_faults(error)) from error
