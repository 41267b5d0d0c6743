"""Routes of requests to services, and the settings of services."""

from ebonystream.route._configuration import (
    RequestLimits,
    RouteConfiguration,
    ServiceSettings,
    index_routes,
    match_route,
)
from ebonystream.route._route import Route, Share, list_odds, select_service

__all__ = (
    'RequestLimits',
    'Route',
    'RouteConfiguration',
    'ServiceSettings',
    'Share',
    'index_routes',
    'list_odds',
    'match_route',
    'select_service',
)
