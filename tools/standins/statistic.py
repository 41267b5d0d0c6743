"""Percentiles and tables for reports."""

import math
from collections.abc import Sequence

PER_CENT = 100


def find_percentile(figures: Sequence[float], percent: float) -> float:
    """Give the nearest-rank percentile, or NaN of nothing.

    Args:
        figures: The figures in any order.
        percent: From 0 to 100.
    """
    if not figures:
        return math.nan
    rank = math.ceil(len(figures) * percent / PER_CENT)
    return sorted(figures)[max(rank, 1) - 1]


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Lay out rows as a table, the first column to the left.

    Args:
        rows: The cells; the first row is the head.
    """
    columns = list(zip(*rows, strict=True))
    widths = [max(map(len, column)) for column in columns]
    return '\n'.join(_format_row(row, widths) for row in rows)


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    first = row[0].ljust(widths[0])
    rest = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
    return '  '.join((first, *list(rest)[1:]))
