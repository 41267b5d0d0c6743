"""Serving: what happens to a request from admission to its answer."""

from collections.abc import Awaitable, Callable, Mapping

from ebonystream._calls import CallKind
from ebonystream.call._admission import Admit
from ebonystream.call._call import Answer, Call
from ebonystream.call._received import KEY_HEADER, Received
from ebonystream.call._refusal import refuse
from ebonystream.errors import EbonystreamError

Serve = Callable[[Received], Awaitable[Answer]]
"""Answers a request; a front end calls it and encodes the answer."""

Run = Callable[[Call], Awaitable[Answer]]
"""Runs one admitted call to its answer; refusals come as answers."""


def make_serving(*, admit: Admit, runs: Mapping[CallKind, Run]) -> Serve:
    """Make the function that answers requests.

    Args:
        admit: Makes a call of a request.
        runs: How each kind of call is run.
    """

    async def serve(received: Received) -> Answer:
        try:
            call = admit(received)
        except EbonystreamError as error:
            keyed = received.find_header(KEY_HEADER) is not None
            return refuse(error, certain=not keyed)
        return await runs[call.kind](call)

    return serve
