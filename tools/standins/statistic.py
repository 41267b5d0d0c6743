"""Percentiles and tables for reports."""

import math
from collections.abc import Sequence

PER_CENT = 100


def find_percentile(measurements: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN for no measurements.

    Args:
        measurements: Measured values in any order.
        percent: Percentile to find, from 0 to 100.
    """
    if not measurements:
        return math.nan
    rank = math.ceil(len(measurements) * percent / PER_CENT)
    return sorted(measurements)[max(rank, 1) - 1]


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Format rows as a table whose first column is aligned to the left.

    Args:
        rows: Cells of each row; the first row is the header.
    """
    columns = list(zip(*rows, strict=True))
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_format_row(row, widths) for row in rows)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    first = row[0].ljust(widths[0])
    rest = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
    return '  '.join((first, *list(rest)[1:]))
