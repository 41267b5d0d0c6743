"""The front end for callers: HTTP/1.1, one task for each connection."""

from ebonystream.caller._connection import serve_connection
from ebonystream.caller._listener import CallerListener

__all__ = ('CallerListener', 'serve_connection')
