"""Orders: the configuration, zones that are out, and version moves."""

from ebonystream.orders._orders import Orders, OrdersListing, VersionOrder

__all__ = ('Orders', 'OrdersListing', 'VersionOrder')
