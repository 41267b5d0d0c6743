"""Orders of operators: configuration, evacuated zones and version moves."""

from ebonystream.orders._freshness import Freshness, compute_proof_time
from ebonystream.orders._orders import Orders, OrdersListing, VersionOrder

__all__ = (
    'Freshness',
    'Orders',
    'OrdersListing',
    'VersionOrder',
    'compute_proof_time',
)
