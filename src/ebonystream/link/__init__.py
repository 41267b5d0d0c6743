"""Outgoing connections: a bounded pool and one exchange per connection."""

from ebonystream.link._exchange import (
    Exchange,
    IsOwn,
    Refused,
    Reply,
    exchange_on,
    make_exchange,
)
from ebonystream.link._pool import ConnectionPool, PoolLimits

__all__ = (
    'ConnectionPool',
    'Exchange',
    'IsOwn',
    'PoolLimits',
    'Refused',
    'Reply',
    'exchange_on',
    'make_exchange',
)
