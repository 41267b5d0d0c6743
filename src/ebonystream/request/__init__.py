"""Requests of callers, responses of backend servers, and their encoding."""

from ebonystream.request._dialect import Dialect
from ebonystream.request._request import Request
from ebonystream.request._response import (
    Response,
    ServerAnswer,
    Verdict,
    refuse_request,
)

__all__ = (
    'Dialect',
    'Request',
    'Response',
    'ServerAnswer',
    'Verdict',
    'refuse_request',
)
