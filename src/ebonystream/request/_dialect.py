"""How requests, answers and questions are spelled where the product runs."""

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
    """The functions that translate messages.

    Attributes:
        read_request: Reads a request that came at a time.
        spell_request: Spells a request for a server, with what is left of
            its deadline in seconds.
        make_is_own: Makes the test that finds a request's own answer.
        read_answer: Reads a server's answer.
        spell_response: Spells what a caller gets; says whether to close.
        spell_question: Spells the question for a server's health, by path.
        is_health: Tells a health answer from others.
        read_health: Reads a health answer.
    """

    read_request: Callable[[Message, Monotonic], Request]
    spell_request: Callable[[Request, ServerEntry, Seconds], bytes]
    make_is_own: Callable[[Request], IsOwn]
    read_answer: Callable[[Message], ServerAnswer]
    spell_response: Callable[[Response, bool], bytes]
    spell_question: Callable[[ServerEntry, str], bytes]
    is_health: IsOwn
    read_health: Callable[[Message], HealthReport]
