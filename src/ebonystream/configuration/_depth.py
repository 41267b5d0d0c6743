"""Nesting depth of a JSON text, without parsing it."""

import re
from itertools import accumulate

ESCAPED_BACKSLASH = rb'\\'
ESCAPED_QUOTE = rb'\"'
OPENING = b'[{'
CLOSING = b']}'
BYTE_VALUES = 256

RELEVANT_BYTES = b'"[{]}'
_IRRELEVANT_BYTES = bytes(
    byte for byte in range(BYTE_VALUES) if byte not in RELEVANT_BYTES
)
_STRING = re.compile(b'"[^"]*"')


def measure_depth(body: bytes) -> int:
    """Return the nesting depth of a JSON text; 0 for a scalar.

    Args:
        body: The text; need not be well formed.
    """
    unescaped = body.replace(ESCAPED_BACKSLASH, b'').replace(ESCAPED_QUOTE, b'')
    # One pass in C removes everything but quotes and brackets.
    brackets = _STRING.sub(b'', unescaped.translate(None, _IRRELEVANT_BYTES))
    return max(accumulate(map(_DEPTH_CHANGES.__getitem__, brackets)), default=0)


_DEPTH_CHANGES = tuple(
    (byte in OPENING) - (byte in CLOSING) for byte in range(BYTE_VALUES)
)
