"""Decoding of JSON, and the error raised for invalid messages."""

from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')


class FormatError(ValueError):
    """A message of the platform does not follow its format."""


def decode_json(
    content: bytes | msgspec.Raw, expected_type: type[Decoded]
) -> Decoded:
    """Decode JSON and validate it against a type.

    Args:
        content: The JSON text.
        expected_type: The type to validate against and to return.

    Raises:
        FormatError: If the text is not JSON or does not match the type.
    """
    try:
        return msgspec.json.decode(content, type=expected_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise FormatError(str(error)) from error
