"""How deep a JSON text is nested, without parsing it."""

import re
from itertools import accumulate

ESCAPED_BACKSLASH = rb'\\'
ESCAPED_QUOTE = rb'\"'
OPENING = b'[{'
CLOSING = b']}'
BYTES = 256

KEPT = b'"[{]}'
_REST = bytes(byte for byte in range(BYTES) if byte not in KEPT)
_STRING = re.compile(b'"[^"]*"')


def measure_depth(body: bytes) -> int:
    """Count how deep the values of a JSON text are nested.

    Args:
        body: The text; it need not be well formed.
    """
    unescaped = body.replace(ESCAPED_BACKSLASH, b'').replace(ESCAPED_QUOTE, b'')
    # One pass in C drops what is neither a quote nor a bracket.
    brackets = _STRING.sub(b'', unescaped.translate(None, _REST))
    return max(accumulate(map(_STEPS.__getitem__, brackets)), default=0)


_STEPS = tuple((byte in OPENING) - (byte in CLOSING) for byte in range(BYTES))
