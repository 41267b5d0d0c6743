"""Calls to backend servers over HTTP/1.1, on pooled connections."""

from ebonystream.link import ConnectionPool, PoolLimits
from ebonystream.upstream._exchange import make_sender

__all__ = ('ConnectionPool', 'PoolLimits', 'make_sender')
