"""Reload of the settings file; an invalid file leaves the settings as is."""

import signal
from collections.abc import Callable
from pathlib import Path

import trio

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._settings import HostSettings
from ebonystream.platform import decode_settings

FILE_CHECK_PERIOD = Seconds(1)
"""Period of checking the file, in seconds; it may change without a signal."""


def read_settings(path: Path) -> HostSettings:
    """Read a settings file.

    Args:
        path: The settings file.

    Raises:
        ValueError: A setting is missing or invalid.
        OSError: The file cannot be read.
    """
    return decode_settings(path.read_bytes())


async def reload_changed_settings(parts: HostParts, path: Path) -> None:
    """Apply the settings whenever their file changes; never return.

    Args:
        parts: The state of the host.
        path: The settings file.
    """
    signal_received = trio.Event()
    parts.background.start_soon(
        _watch_signal, parts, lambda: signal_received.set()
    )
    applied_content = await trio.Path(path).read_bytes()
    while True:
        with trio.move_on_after(FILE_CHECK_PERIOD):
            await signal_received.wait()
        signal_received = trio.Event()
        applied_content = _reload_if_changed(parts, path, applied_content)


async def _watch_signal(parts: HostParts, notify: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            parts.log_event('settings_signal')
            notify()


def _reload_if_changed(
    parts: HostParts, path: Path, applied_content: bytes
) -> bytes:
    """Apply the file if it has changed; return the content applied last."""
    try:
        content = path.read_bytes()
        if content == applied_content:
            return applied_content
        settings = read_settings(path)
    except (OSError, ValueError) as error:
        parts.log_event('settings_refused', why=str(error))
        return applied_content
    changed = settings != parts.settings
    parts.settings = settings
    parts.log_event('settings_taken', changed=changed)
    return content
