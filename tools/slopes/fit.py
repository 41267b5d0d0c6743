"""Fits straight lines to measured points."""

from collections.abc import Sequence

import msgspec
import numpy as np


class Line(msgspec.Struct, frozen=True):
    """A quantity as a linear function of a size: fixed + slope * size.

    Attributes:
        quantity: Name of the measured quantity.
        unit: Unit of the quantity.
        against: What the size is a number of.
        sizes: The sizes.
        points: Measured value at each size.
        fixed: Fitted value at size zero.
        fixed_error: Standard error of the fixed value.
        slope: Increase for each unit of size.
        slope_error: Standard error of the slope.
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
        quantity: Name of the measured quantity.
        unit: Unit of the quantity.
        against: What the size is a number of.
        sizes: The sizes, at least four.
        points: Measured value at each size.
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
