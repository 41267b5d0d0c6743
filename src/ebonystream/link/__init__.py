"""Outgoing connections: a bounded pool and one exchange per connection."""

from ebonystream.link._buffers import BufferShare, ResponseBuffers
from ebonystream.link._exchange import make_exchange, perform_exchange
from ebonystream.link._interface import (
    Exchange,
    ExchangeFailure,
    ExchangeResult,
    ResponseMatcher,
    match_any,
)
from ebonystream.link._pool import ConnectionPool, PoolLimits

__all__ = (
    'BufferShare',
    'ResponseBuffers',
    'ConnectionPool',
    'Exchange',
    'ResponseMatcher',
    'PoolLimits',
    'ExchangeFailure',
    'ExchangeResult',
    'perform_exchange',
    'make_exchange',
    'match_any',
)
