"""Calls to backend servers over HTTP/1.1, on kept connections."""

from ebonystream.upstream._exchange import make_sender
from ebonystream.link import ConnectionPool, PoolLimits

__all__ = ('ConnectionPool', 'PoolLimits', 'make_sender')
