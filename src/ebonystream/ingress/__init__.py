"""Connections from callers: whole requests in, whole answers out."""

from ebonystream.ingress._connection import (
    ConnectionLimits,
    EncodedResponse,
    EncodeError,
    Respond,
    serve_connection,
)
from ebonystream.ingress._listener import HandleConnection, serve_listener
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._presence import CallerPresence

__all__ = (
    'ConnectionLimits',
    'HandleConnection',
    'OpenConnections',
    'CallerPresence',
    'EncodeError',
    'Respond',
    'EncodedResponse',
    'serve_connection',
    'serve_listener',
)
