"""Read a settings file and report every fault in it."""

from pathlib import Path

import attrs
from pydantic import ValidationError

from ebonystream.settings._settings import Settings


@attrs.frozen
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        path: JSON path of the fault, such as ``$.callers.port``.
        reason: What is wrong at that path.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return ''.join(map(_escape, f'{self.path}: {self.reason}'))


class SettingsError(Exception):
    """The settings file is missing or invalid.

    Attributes:
        faults: Every fault in the file.
    """

    def __init__(self, faults: tuple[SettingsFault, ...]) -> None:
        super().__init__('; '.join(map(str, faults)))
        self.faults = faults


def list_faults(error: ValidationError) -> tuple[SettingsFault, ...]:
    """Return the faults of a validation error, each with its JSON path."""
    return tuple(
        SettingsFault(
            path='.'.join(('$', *map(str, fault['loc']))),
            reason=fault['msg'],
        )
        for fault in error.errors()
    )


def _escape(character: str) -> str:
    # A key of the file may contain line breaks or terminal escape codes.
    return character if character.isprintable() else repr(character)[1:-1]


def read_settings(path: Path) -> Settings:
    """Read and validate the settings of an entry host.

    Args:
        path: Path of the JSON file.

    Raises:
        SettingsError: The file can't be read, is not JSON or is invalid. The
            error lists every fault.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = f'{path}: {error.strerror}'
        raise SettingsError((SettingsFault('$', reason),)) from error
    try:
        return Settings.model_validate_json(text, strict=True)
    except ValidationError as error:
        raise SettingsError(list_faults(error)) from error
