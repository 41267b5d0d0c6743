"""Incoming connections: receive complete requests and send the responses."""

from ebonystream.ingress._closings import CloseReason, Closings
from ebonystream.ingress._connection import serve_connection
from ebonystream.ingress._descriptors import (
    DEFAULT_DESCRIPTORS,
    MIN_DESCRIPTORS,
    ConnectionShares,
    divide_descriptors,
)
from ebonystream.ingress._listener import HandleConnection, serve_listener
from ebonystream.ingress._memory_budget import MemoryBudget
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._presence import CallerPresence
from ebonystream.ingress._response import (
    EncodedResponse,
    EncodeError,
    MayOverlap,
    Respond,
)
from ebonystream.ingress._session import ConnectionLimits
from ebonystream.ingress._unread import bound_unread_bytes

__all__ = (
    'DEFAULT_DESCRIPTORS',
    'MIN_DESCRIPTORS',
    'ConnectionShares',
    'divide_descriptors',
    'ConnectionLimits',
    'CloseReason',
    'Closings',
    'HandleConnection',
    'MemoryBudget',
    'OpenConnections',
    'CallerPresence',
    'EncodeError',
    'MayOverlap',
    'Respond',
    'EncodedResponse',
    'bound_unread_bytes',
    'serve_connection',
    'serve_listener',
)
