"""Decoding of JSON, and the error raised for invalid messages."""

import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypeVar

import msgspec

Decoded = TypeVar('Decoded')

MAX_DOCUMENT_BYTES = 8_388_608
MAX_NESTING = 32
MAX_REASON_LENGTH = 240

JSON_TEXT = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
OPENING_BRACKETS = b'[{'
NOT_BRACKETS = bytes(set(range(256)) - set(b'[]{}'))


class FormatError(ValueError):
    """A message of the platform does not follow its format."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, cut to a bounded length for the log."""
        super().__init__(reason[:MAX_REASON_LENGTH])


def decode_json(
    content: bytes | msgspec.Raw, expected_type: type[Decoded]
) -> Decoded:
    """Decode JSON and validate it against a type.

    Args:
        content: The JSON text, or a part of one that was decoded before.
        expected_type: The type to validate against and to return.

    Raises:
        FormatError: If the text is too large or too deeply nested, is not
            JSON or does not match the type.
    """
    if isinstance(content, bytes):
        _check_bounds(content)
    try:
        return msgspec.json.decode(content, type=expected_type)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FormatError(str(error)) from error


@contextmanager
def reject_invalid_values() -> Iterator[None]:
    """Raise `FormatError` for a value that an aggregate does not accept."""
    try:
        yield
    except ValueError as error:
        raise FormatError(str(error)) from error


def _check_bounds(content: bytes) -> None:
    if len(content) > MAX_DOCUMENT_BYTES:
        raise FormatError(f'more than {MAX_DOCUMENT_BYTES} bytes')
    opening = content.count(b'[') + content.count(b'{')
    if opening > MAX_NESTING and _is_too_deep(content):
        raise FormatError(f'nested more than {MAX_NESTING} levels deep')


def _is_too_deep(content: bytes) -> bool:
    brackets = JSON_TEXT.sub(b'', content).translate(None, NOT_BRACKETS)
    depth = 0
    for bracket in brackets:
        depth += 1 if bracket in OPENING_BRACKETS else -1
        if depth > MAX_NESTING:
            return True
    return False
