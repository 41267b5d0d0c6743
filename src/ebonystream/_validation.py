"""Validators of attributes whose values come from other processes.

They hold for values of any source: records of the store, peers and settings.
"""

import socket
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import Seconds

Checked = TypeVar('Checked')
Validator = Callable[[Any, 'attrs.Attribute[Any]', Checked], None]
"""Raise `ValueError` unless the value of an attribute is valid."""

MAX_DURATION_S = 86_400
MAX_NAME_LENGTH = 255
MAX_PORT = 65_535
MAX_QUOTED_LENGTH = 60
UNSPECIFIED_ADDRESS = '0.0.0.0'

UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What the decoder of binary messages raises, whatever the bytes."""


def quote(value: object) -> str:
    """Quote an invalid value for an error, cut to a bounded length.

    Args:
        value: The invalid value.
    """
    text = value[: MAX_QUOTED_LENGTH + 1] if isinstance(value, str) else value
    quoted = repr(text)
    if len(quoted) <= MAX_QUOTED_LENGTH:
        return quoted
    return f'{quoted[:MAX_QUOTED_LENGTH]}...'


def make_range_validator(least: float, most: float) -> Validator[float]:
    """Return a validator of a number; NaN is outside any range.

    Args:
        least: The smallest valid value.
        most: The largest valid value.
    """

    def validate(
        owner: object, attribute: 'attrs.Attribute[Any]', number: float
    ) -> None:
        if not least <= number <= most:
            raise ValueError(
                f'{attribute.name} is not from {least} to {most}: '
                f'{quote(number)}'
            )

    return validate


validate_duration = make_range_validator(0, MAX_DURATION_S)
"""Validate a duration in seconds, which may be zero."""


def limit_duration(seconds: float) -> Seconds:
    """Limit a duration to the range that other processes accept.

    Args:
        seconds: The duration, in seconds; a negative one counts as 0.
    """
    return Seconds(min(max(0, seconds), MAX_DURATION_S))


def validate_name(
    owner: object, attribute: 'attrs.Attribute[Any]', name: str
) -> None:
    """Validate a name that is compared and logged.

    Raises:
        ValueError: If it is empty, too long or has control characters.
    """
    if not (name and name.isprintable() and len(name) <= MAX_NAME_LENGTH):
        raise ValueError(f'{attribute.name} is not a name: {quote(name)}')


def validate_token(
    owner: object, attribute: 'attrs.Attribute[Any]', token: str
) -> None:
    """Validate a text that is sent as a word of an HTTP message.

    Raises:
        ValueError: If it is empty, too long or not visible ASCII only.
    """
    is_visible = token.isascii() and token.isprintable() and ' ' not in token
    if not (token and is_visible and len(token) <= MAX_NAME_LENGTH):
        raise ValueError(f'{attribute.name} is not a token: {quote(token)}')


def validate_endpoint(
    owner: object, attribute: 'attrs.Attribute[Any]', at: ServerAddress
) -> None:
    """Validate an address to which connections are opened.

    Raises:
        ValueError: If it is not an IPv4 address of a host with a port.
    """
    if not (is_host_address(at.address) and 1 <= at.port <= MAX_PORT):
        raise ValueError(
            f'{attribute.name} is not an endpoint: {quote(at.address)} '
            f'port {quote(at.port)}'
        )


def is_host_address(text: str) -> bool:
    """Return whether a text is the IPv4 address of a host.

    Args:
        text: The text, such as `10.128.0.9`.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return text != UNSPECIFIED_ADDRESS
