"""Orders of operators: configuration, evacuated zones and version moves."""

from ebonystream.orders._freshness import Freshness
from ebonystream.orders._orders import (
    Orders,
    OrdersListing,
    OrdersUpdate,
    VersionOrder,
)
from ebonystream.orders._position import FIRST_POSITION, OrdersPosition

__all__ = (
    'FIRST_POSITION',
    'Freshness',
    'Orders',
    'OrdersListing',
    'OrdersPosition',
    'OrdersUpdate',
    'VersionOrder',
)
