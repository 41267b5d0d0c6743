"""Watch a move until it is closed, and print its progress."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream.cli._client import AdminError, Json
from ebonystream.cli._exit import ExitCode
from ebonystream.cli._formatting import format_move

POLL_INTERVAL_SECONDS = 0.5
MAX_CONSECUTIVE_FAILURES = 20
"""Number of failed requests in a row after which the command gives up."""

EXIT_CODE_BY_FINAL_STATE: Mapping[str, ExitCode] = MappingProxyType(
    {'finished': ExitCode.DONE, 'taken_back': ExitCode.TAKEN_BACK}
)
"""Exit code of each state in which a move is closed."""


@attrs.frozen(kw_only=True)
class WatchEnvironment:
    """Input, output and clock of `watch_move`.

    Attributes:
        read_report: Returns the current report. Raises `AdminError`.
        print_progress: Prints one line.
        sleep: Waits for a duration in seconds.
        now: Returns the time of a monotonic clock, in seconds.
    """

    read_report: Callable[[], Json]
    print_progress: Callable[[str], None]
    sleep: Callable[[float], None]
    now: Callable[[], float]


@attrs.define
class _Progress:
    """Progress of `watch_move`.

    Attributes:
        report: The latest report, if any.
        consecutive_failures: Number of failed requests in a row.
        last_line: The last line that was printed.
    """

    report: Json | None = None
    consecutive_failures: int = 0
    last_line: str = ''


def watch_move(
    environment: WatchEnvironment, timeout: float | None
) -> tuple[Json | None, ExitCode]:
    """Watch a move until it is closed.

    Args:
        environment: Input, output and clock.
        timeout: Maximum time to watch, in seconds; None for no limit.

    Returns:
        The latest report, if any, and the exit code of the command.
    """
    started_at = environment.now()
    progress = _Progress()
    while True:
        exit_code = _poll(environment, progress)
        if exit_code is not None:
            return progress.report, exit_code
        if timeout is not None and environment.now() - started_at >= timeout:
            return progress.report, ExitCode.NOT_FINISHED
        environment.sleep(POLL_INTERVAL_SECONDS)


def _poll(
    environment: WatchEnvironment, progress: _Progress
) -> ExitCode | None:
    try:
        report = environment.read_report()
    except AdminError as error:
        _print_if_new(environment, progress, str(error))
        progress.consecutive_failures += 1
        refused = error.exit_code is ExitCode.REFUSED
        give_up = (
            refused or progress.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        )
        return error.exit_code if give_up else None
    progress.consecutive_failures = 0
    progress.report = report
    _print_if_new(environment, progress, format_move(report))
    return EXIT_CODE_BY_FINAL_STATE.get(report['state'])


def _print_if_new(
    environment: WatchEnvironment, progress: _Progress, line: str
) -> None:
    if line != progress.last_line:
        progress.last_line = line
        environment.print_progress(line)
