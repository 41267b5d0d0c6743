"""Parsing of numbers in header fields, which any server or caller may send."""

import re

from ebonystream._ids import Seconds

MAX_DIGITS = 15
"""Larger numbers are no figure that a header field of the platform has."""

DECIMAL = re.compile(rb'[0-9]{1,15}(?:\.[0-9]{1,15})?')


def parse_whole_number(field: bytes | None) -> int | None:
    """Parse a whole number; None if absent, malformed or too large.

    Args:
        field: The value of a header field, or a part of it.
    """
    if field is None or not field.isdigit() or len(field) > MAX_DIGITS:
        return None
    return int(field)


def parse_seconds(field: bytes | None) -> Seconds | None:
    """Parse a duration in seconds, with or without a fraction.

    Args:
        field: The value of a header field; None if it is absent.

    Returns:
        The duration, or None if the field is absent or malformed.
    """
    if field is None or not DECIMAL.fullmatch(field):
        return None
    return Seconds(float(field))
