"""Runs a launcher and prints one line for each error that ended it."""

import sys
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

import trio

from standins.processes import LaunchFailed

Report = TypeVar('Report')


def launch(run: Callable[[], Awaitable[Report]]) -> Report | None:
    """Run a launcher and return its report, or None if it failed.

    The errors of a failed launcher are printed to standard error.

    Args:
        run: The launcher: starts processes, uses them and stops them.
    """
    report: Report | None = None
    try:
        report = trio.run(run)
    except* LaunchFailed as failures:
        for line in _list_failures(failures):
            print(line, file=sys.stderr)
    return report


def _list_failures(failures: BaseException) -> Iterator[str]:
    if isinstance(failures, BaseExceptionGroup):
        for failure in failures.exceptions:
            yield from _list_failures(failure)
    else:
        yield f'{type(failures).__name__}: {failures}'
