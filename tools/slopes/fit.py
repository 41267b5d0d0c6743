"""Straight lines through measured points."""

from collections.abc import Sequence

import msgspec
import numpy as np


class Line(msgspec.Struct, frozen=True):
    """A quantity against a size: fixed + slope * size.

    Attributes:
        quantity: What was measured.
        unit: Its unit.
        against: What the size counts.
        sizes: The sizes.
        points: What was measured at each.
        fixed: The cost at size zero.
        fixed_error: Its standard error.
        slope: The cost of one more.
        slope_error: Its standard error.
    """

    quantity: str
    unit: str
    against: str
    sizes: tuple[float, ...]
    points: tuple[float, ...]
    fixed: float
    fixed_error: float
    slope: float
    slope_error: float


def fit_line(
    quantity: str,
    unit: str,
    against: str,
    sizes: Sequence[float],
    points: Sequence[float],
) -> Line:
    """Fit a straight line by least squares.

    Args:
        quantity: What was measured.
        unit: Its unit.
        against: What the size counts.
        sizes: Four sizes or more.
        points: What was measured at each.
    """
    coefficients, covariance = np.polyfit(sizes, points, 1, cov=True)
    errors = np.sqrt(np.diag(covariance))
    return Line(
        quantity=quantity,
        unit=unit,
        against=against,
        sizes=tuple(map(float, sizes)),
        points=tuple(map(float, points)),
        fixed=float(coefficients[1]),
        fixed_error=float(errors[1]),
        slope=float(coefficients[0]),
        slope_error=float(errors[0]),
    )
