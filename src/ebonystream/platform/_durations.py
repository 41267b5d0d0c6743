"""Lengths of time as the platform spells them: `1500ms`, `2.5s`."""

from ebonystream._ids import Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.platform._errors import FormatError


def parse_duration(text: object) -> Seconds:
    """Read a length of time.

    Args:
        text: A number and its unit.

    Raises:
        FormatError: It is none.
    """
    if not isinstance(text, str):
        raise FormatError(f'not a length of time: {text!r}')
    try:
        return _parse_spelled(text)
    except ValueError as error:
        raise FormatError(f'not a length of time: {text!r}') from error


def _parse_spelled(text: str) -> Seconds:
    if text.endswith('ms'):
        return Seconds(float(text.removesuffix('ms')) / MS_PER_SECOND)
    if text.endswith('s'):
        return Seconds(float(text.removesuffix('s')))
    raise ValueError(text)
