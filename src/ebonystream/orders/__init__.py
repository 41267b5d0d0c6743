"""Orders of operators: configuration, evacuated zones and version moves."""

from ebonystream.orders._carried import CarriedOrders
from ebonystream.orders._freshness import Freshness, compute_proof_time
from ebonystream.orders._orders import (
    Orders,
    OrdersListing,
    OrdersUpdate,
)
from ebonystream.orders._position import FIRST_POSITION, OrdersPosition
from ebonystream.orders._version_order import VersionOrder

__all__ = (
    'FIRST_POSITION',
    'CarriedOrders',
    'Freshness',
    'Orders',
    'OrdersListing',
    'OrdersPosition',
    'OrdersUpdate',
    'VersionOrder',
    'compute_proof_time',
)
