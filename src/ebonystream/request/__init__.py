"""Requests of callers, responses of backend servers, and their encoding."""

from ebonystream.request._codec import MessageCodec
from ebonystream.request._request import Request
from ebonystream.request._response import (
    Response,
    ResponseVerdict,
    ServerResponse,
    make_error_response,
)

__all__ = (
    'MessageCodec',
    'Request',
    'Response',
    'ServerResponse',
    'ResponseVerdict',
    'make_error_response',
)
