"""Parsing of durations in the platform's notation: `1500ms`, `2.5s`."""

import re

from ebonystream._ids import Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream._validation import MAX_DURATION_S, quote
from ebonystream.platform._errors import FormatError

DURATION = re.compile(r'([0-9]{1,9}(?:\.[0-9]{1,9})?)(ms|s)')


def parse_duration(text: object) -> Seconds:
    """Parse a duration.

    Args:
        text: A decimal number followed by `ms` or `s`, of a day at most.

    Raises:
        FormatError: If the value is not a text of this form.
    """
    match = DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise FormatError(f'not a duration: {quote(text)}')
    divisor = MS_PER_SECOND if match[2] == 'ms' else 1
    seconds = float(match[1]) / divisor
    if seconds > MAX_DURATION_S:
        raise FormatError(f'longer than {MAX_DURATION_S} s: {quote(text)}')
    return Seconds(seconds)
