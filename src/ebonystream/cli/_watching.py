"""Watching of a move until it is closed, with progress on the way."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream.cli._client import AdminError, Json
from ebonystream.cli._exit import ExitCode
from ebonystream.cli._spelling import spell_move

POLL_SECONDS = 0.5
MAX_FAILURES = 20
"""Readings in a row that may fail before the command gives up."""

ENDS: Mapping[str, ExitCode] = MappingProxyType(
    {'finished': ExitCode.DONE, 'taken_back': ExitCode.TAKEN_BACK}
)
"""The states in which a move is closed."""


@attrs.frozen(kw_only=True)
class Surroundings:
    """What watching needs from outside.

    Attributes:
        read: Reads the report; raises `AdminError`.
        say: Shows one line of progress.
        wait: Waits for some seconds.
        now: Reads a clock, in seconds.
    """

    read: Callable[[], Json]
    say: Callable[[str], None]
    wait: Callable[[float], None]
    now: Callable[[], float]


@attrs.define
class _Progress:
    """What was seen so far.

    Attributes:
        report: The newest report, if any.
        failures: Readings in a row that failed.
        said: The last line that was shown.
    """

    report: Json | None = None
    failures: int = 0
    said: str = ''


def watch_move(
    around: Surroundings, timeout: float | None
) -> tuple[Json | None, ExitCode]:
    """Watch a move until it is closed.

    Args:
        around: What watching needs from outside.
        timeout: How long to watch at most, in seconds.

    Returns:
        The newest report and what the command ends with.
    """
    began = around.now()
    progress = _Progress()
    while True:
        exit_code = _look(around, progress)
        if exit_code is not None:
            return progress.report, exit_code
        if timeout is not None and around.now() - began >= timeout:
            return progress.report, ExitCode.NOT_FINISHED
        around.wait(POLL_SECONDS)


def _look(around: Surroundings, progress: _Progress) -> ExitCode | None:
    try:
        report = around.read()
    except AdminError as error:
        _say(around, progress, str(error))
        progress.failures += 1
        refused = error.exit_code is ExitCode.REFUSED
        give_up = refused or progress.failures >= MAX_FAILURES
        return error.exit_code if give_up else None
    progress.failures = 0
    progress.report = report
    _say(around, progress, spell_move(report))
    return ENDS.get(report['state'])


def _say(around: Surroundings, progress: _Progress, line: str) -> None:
    if line != progress.said:
        progress.said = line
        around.say(line)
