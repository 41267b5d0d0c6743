"""Connections out of this host: kept, bounded, and one exchange on each."""

from ebonystream.link._exchange import (
    Exchange,
    ExchangeFailure,
    ExchangeResult,
    ResponseMatcher,
    make_exchange,
    perform_exchange,
)
from ebonystream.link._pool import ConnectionPool, PoolLimits

__all__ = (
    'ConnectionPool',
    'Exchange',
    'ResponseMatcher',
    'PoolLimits',
    'ExchangeFailure',
    'ExchangeResult',
    'perform_exchange',
    'make_exchange',
)
