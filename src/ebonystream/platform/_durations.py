"""Parsing of durations in the platform's notation: `1500ms`, `2.5s`."""

from ebonystream._ids import Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.platform._errors import FormatError


def parse_duration(text: object) -> Seconds:
    """Parse a duration.

    Args:
        text: A number followed by `ms` or `s`.

    Raises:
        FormatError: If the value is not a text of this form.
    """
    if not isinstance(text, str):
        raise FormatError(f'not a duration: {text!r}')
    try:
        return _parse_number_and_unit(text)
    except ValueError as error:
        raise FormatError(f'not a duration: {text!r}') from error


def _parse_number_and_unit(text: str) -> Seconds:
    if text.endswith('ms'):
        return Seconds(float(text.removesuffix('ms')) / MS_PER_SECOND)
    if text.endswith('s'):
        return Seconds(float(text.removesuffix('s')))
    raise ValueError(text)
