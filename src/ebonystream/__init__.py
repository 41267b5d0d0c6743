"""A load balancer for servers whose load changes within milliseconds.

The package itself exports only the errors. A program that runs an entry host
of its own uses `ebonystream.settings` and `ebonystream.composition` too.
"""

from ebonystream.errors import (
    ANSWERS,
    EbonystreamError,
    ErrorAnswer,
    ErrorKind,
    Outcome,
)

__all__ = (
    'ANSWERS',
    'EbonystreamError',
    'ErrorAnswer',
    'ErrorKind',
    'Outcome',
)
