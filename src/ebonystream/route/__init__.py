"""Routes of requests to services, and the settings of services."""

from ebonystream.route._configuration import (
    RequestLimits,
    RouteConfiguration,
    ServiceTerms,
    index_routes,
    match_route,
)
from ebonystream.route._route import Route, Share, pick_service

__all__ = (
    'RequestLimits',
    'Route',
    'RouteConfiguration',
    'ServiceTerms',
    'Share',
    'index_routes',
    'match_route',
    'pick_service',
)
