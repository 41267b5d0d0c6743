"""ebonystream: a load balancer for servers whose load shifts in milliseconds.

The public namespace is small: the errors, and the settings and the composition
root that a program needs to run an entry host of its own.
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
