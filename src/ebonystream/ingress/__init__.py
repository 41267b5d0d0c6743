"""Incoming connections: receive complete requests and send the responses."""

from ebonystream.ingress._connection import (
    ConnectionLimits,
    RefuseBytes,
    Respond,
    Spoken,
    serve_connection,
)
from ebonystream.ingress._leaving import OpenConnections
from ebonystream.ingress._listener import HandleConnection, serve_listener
from ebonystream.ingress._presence import Presence

__all__ = (
    'ConnectionLimits',
    'HandleConnection',
    'OpenConnections',
    'Presence',
    'RefuseBytes',
    'Respond',
    'Spoken',
    'serve_connection',
    'serve_listener',
)
