"""Handling of a request, from its admission to the response."""

from collections.abc import Awaitable, Callable, Mapping

from ebonystream._calls import CallKind
from ebonystream.call._admission import Admit
from ebonystream.call._call import Answer, Call
from ebonystream.call._received import KEY_HEADER, Received
from ebonystream.call._refusal import refuse
from ebonystream.errors import EbonystreamError

Serve = Callable[[Received], Awaitable[Answer]]
"""Handles a request of a caller; the front end encodes the response."""

Run = Callable[[Call], Awaitable[Answer]]
"""Runs an admitted call; errors are returned as responses, not raised."""


def make_serving(*, admit: Admit, runs: Mapping[CallKind, Run]) -> Serve:
    """Return a function that handles requests.

    Args:
        admit: Admits a request as a call.
        runs: The function that runs each kind of call.
    """

    async def serve(received: Received) -> Answer:
        try:
            call = admit(received)
        except EbonystreamError as error:
            has_key = received.find_header(KEY_HEADER) is not None
            return refuse(error, certain=not has_key)
        return await runs[call.kind](call)

    return serve
