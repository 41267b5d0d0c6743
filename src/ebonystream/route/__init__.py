"""Routes of requests to services, and the settings of services."""

from ebonystream.route._configuration import (
    RequestLimits,
    RouteConfiguration,
    ServiceSettings,
    index_routes,
    match_route,
)
from ebonystream.route._patience import has_time_to_spare
from ebonystream.route._route import Route, Share, list_odds, select_service

__all__ = (
    'RequestLimits',
    'Route',
    'RouteConfiguration',
    'ServiceSettings',
    'Share',
    'has_time_to_spare',
    'index_routes',
    'list_odds',
    'match_route',
    'select_service',
)
