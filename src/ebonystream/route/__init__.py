"""Routes: which service answers a request, and on which terms."""

from ebonystream.route._configuration import (
    RequestLimits,
    RouteConfiguration,
    ServiceSettings,
    index_routes,
    match_route,
)
from ebonystream.route._route import Route, Share, select_service

__all__ = (
    'RequestLimits',
    'Route',
    'RouteConfiguration',
    'ServiceSettings',
    'Share',
    'index_routes',
    'match_route',
    'select_service',
)
