"""The interface to the platform's encoding of messages."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.http1 import EncodedMessage, Message
from ebonystream.link import ResponseMatcher
from ebonystream.request._request import Request
from ebonystream.request._response import Response, ServerResponse
from ebonystream.roster import HealthReport, ServerEntry


@attrs.frozen(kw_only=True)
class MessageCodec:
    """The functions that encode and parse messages on a platform.

    Attributes:
        decode_request: Parses a request, given when it arrived.
        encode_request: Encodes a request for a server, given the time left
            until its deadline, in seconds.
        make_response_matcher: Returns a predicate that matches the response
            to a request.
        decode_response: Parses a server's response.
        encode_response: Encodes the response to a caller, given whether the
            connection is to be closed.
        encode_health_request: Encodes the request for a health check,
            given its path.
        is_health_response: Returns whether a response is that to a health
            check.
        decode_health_response: Parses the response to a health check.
    """

    decode_request: Callable[[Message, Monotonic], Request]
    encode_request: Callable[[Request, ServerEntry, Seconds], EncodedMessage]
    make_response_matcher: Callable[[Request], ResponseMatcher]
    decode_response: Callable[[Message], ServerResponse]
    encode_response: Callable[[Response, bool], bytes]
    encode_health_request: Callable[[ServerEntry, str], bytes]
    is_health_response: ResponseMatcher
    decode_health_response: Callable[[Message], HealthReport]
