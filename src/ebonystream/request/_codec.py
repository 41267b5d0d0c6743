"""How requests, answers and questions are spelled where the product runs."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.http1 import Message
from ebonystream.link import ResponseMatcher
from ebonystream.request._request import Request
from ebonystream.request._response import Response, ServerResponse
from ebonystream.roster import HealthReport, ServerEntry


@attrs.frozen(kw_only=True)
class MessageCodec:
    """The functions that translate messages.

    Attributes:
        decode_request: Reads a request that came at a time.
        encode_request: Spells a request for a server, with what is left of
            its deadline in seconds.
        make_response_matcher: Makes the test that finds a request's own answer.
        decode_response: Reads a server's answer.
        encode_response: Spells what a caller gets; says whether to close.
        encode_health_request: Spells the question for a server's health, by path.
        is_health_response: Tells a health answer from others.
        decode_health_response: Reads a health answer.
    """

    decode_request: Callable[[Message, Monotonic], Request]
    encode_request: Callable[[Request, ServerEntry, Seconds], bytes]
    make_response_matcher: Callable[[Request], ResponseMatcher]
    decode_response: Callable[[Message], ServerResponse]
    encode_response: Callable[[Response, bool], bytes]
    encode_health_request: Callable[[ServerEntry, str], bytes]
    is_health_response: ResponseMatcher
    decode_health_response: Callable[[Message], HealthReport]
