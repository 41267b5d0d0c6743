"""A caller's request, a server's answer, and how they are spelled."""

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
