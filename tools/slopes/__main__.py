"""Measures every slope and prints them as one JSON object."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from slopes.calls import measure_calls
from slopes.control import measure_control
from slopes.fit import Line
from slopes.idle import measure_idle
from slopes.keys import measure_keys
from slopes.plot import plot_lines
from slopes.upstreams import measure_servers


class Report(msgspec.Struct):
    """The JSON object that is printed.

    Attributes:
        lines: Every quantity with its points and its fitted line.
    """

    lines: list[Line]


def main(
    plot: Annotated[
        Path | None, typer.Option(help='Where the plot goes, if anywhere.')
    ] = None,
) -> None:
    """Measure every slope, on this machine, as it is."""
    lines = [*measure_control(), *measure_keys(), *measure_servers()]
    lines.extend(trio.run(measure_calls))
    lines.extend(trio.run(measure_idle))
    for line in lines:
        sys.stderr.write(f'{format_line(line)}\n')
    if plot is not None:
        plot_lines(lines, plot)
    typer.echo(msgspec.json.encode(Report(lines)).decode())


def format_line(line: Line) -> str:
    """Format a fitted line as one row of text.

    Args:
        line: The fitted line.
    """
    fixed = f'{line.fixed:.4g} ± {line.fixed_error:.2g}'
    slope = f'{line.slope:.4g} ± {line.slope_error:.2g}'
    size = f'for each of {line.against}'
    return f'{line.quantity}: {fixed} + {slope} {line.unit} {size}'


if __name__ == '__main__':
    typer.run(main)
