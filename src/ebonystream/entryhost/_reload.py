"""The settings file: read again whole, or refused with a reason."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._settings import HostSettings
from ebonystream.platform import decode_settings

LOOK_PERIOD = Seconds(1)
"""How often the file is looked at, as it may change without a signal."""


def read_settings(path: Path) -> HostSettings:
    """Read a settings file.

    Args:
        path: The file.

    Raises:
        ValueError: It can't be read whole.
        OSError: There is none.
    """
    return decode_settings(path.read_bytes())


async def follow_settings(parts: HostParts, path: Path) -> None:
    """Take the settings over whenever their file changes.

    Args:
        parts: The state of the host.
        path: The settings file.
    """
    wake = trio.Event()
    parts.background.start_soon(_watch_signal, parts, lambda: wake.set())
    last = await trio.Path(path).read_bytes()
    while True:
        with trio.move_on_after(LOOK_PERIOD):
            await wake.wait()
        wake = trio.Event()
        last = _look(parts, path, last)


async def _watch_signal(parts: HostParts, tell: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            parts.note('settings_signal')
            tell()


def _look(parts: HostParts, path: Path, last: bytes) -> bytes:
    """Take the file over where it has changed; give what stands there."""
    try:
        content = path.read_bytes()
        if content == last:
            return last
        settings = read_settings(path)
    except (OSError, ValueError) as error:
        parts.note('settings_refused', why=str(error))
        return last
    changed = settings != parts.settings
    parts.settings = settings
    parts.note('settings_taken', changed=changed)
    return content
