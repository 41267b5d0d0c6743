"""What the platform's messages can be faulty in."""

from typing import TypeVar

import msgspec

Shape = TypeVar('Shape')


class FormatError(ValueError):
    """A message of the platform is not what its format says."""


def decode_json(content: bytes | msgspec.Raw, shape: type[Shape]) -> Shape:
    """Read JSON of a known shape.

    Args:
        content: The JSON.
        shape: What it should be.

    Raises:
        FormatError: It is something else.
    """
    try:
        return msgspec.json.decode(content, type=shape)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from error
