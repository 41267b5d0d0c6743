"""The interface to the platform's encoding of messages."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.http1 import Message
from ebonystream.link import IsOwn
from ebonystream.request._request import Request
from ebonystream.request._response import Response, ServerAnswer
from ebonystream.roster import HealthReport, ServerEntry


@attrs.frozen(kw_only=True)
class Dialect:
    """The functions that encode and parse messages on a platform.

    Attributes:
        read_request: Parses a request, given when it arrived.
        spell_request: Encodes a request for a server, given the time left
            until its deadline, in seconds.
        make_is_own: Returns a predicate that matches the response
            to a request.
        read_answer: Parses a server's response.
        spell_response: Encodes the response to a caller, given whether the
            connection is to be closed.
        spell_question: Encodes the request for a health check,
            given its path.
        is_health: Returns whether a response is that to a health check.
        read_health: Parses the response to a health check.
    """

    read_request: Callable[[Message, Monotonic], Request]
    spell_request: Callable[[Request, ServerEntry, Seconds], bytes]
    make_is_own: Callable[[Request], IsOwn]
    read_answer: Callable[[Message], ServerAnswer]
    spell_response: Callable[[Response, bool], bytes]
    spell_question: Callable[[ServerEntry, str], bytes]
    is_health: IsOwn
    read_health: Callable[[Message], HealthReport]
