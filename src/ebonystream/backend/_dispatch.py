"""Dispatch: one attempt of a call, from its place to what was learned."""

from collections.abc import Awaitable, Callable, Sequence

from ebonystream._ids import Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._attempt import ABANDONED, WITHDRAWN, Attempt
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call

Place = Callable[[Call, set[ServerId]], Awaitable[BackendServer]]
"""Gives a server with room for a call, none of those tried, and counts the
call there; waits where all are full.

Raises `EbonystreamError` where no server may have it: the call did not run.
"""

Send = Callable[[Call, BackendServer], Awaitable[Attempt]]
"""Sends a call to one server and tells how that ended."""

MayTake = Callable[[Call, BackendServer], bool]
"""Tells whether a server may be sent a call now; several must all agree."""

Begin = Callable[[Call, BackendServer], bool]
"""Sees each call that has its place, in the step in which it is sent.

False keeps the call back: what was true when it got its place is no longer.
"""

Observe = Callable[[Call, BackendServer, Attempt, Seconds], None]
"""Learns from an attempt that took that long, in seconds."""

Dispatch = Callable[[Call, set[ServerId]], Awaitable[Attempt]]
"""Makes one attempt and adds its server to those tried."""


def make_dispatch(
    *,
    place: Place,
    send: Send,
    observers: Sequence[Observe],
    timers: Timers,
    begins: Sequence[Begin] = (),
) -> Dispatch:
    """Make the function that makes one attempt of a call.

    Args:
        place: Finds a server with room.
        send: Sends the call there.
        observers: Learn from the attempt; the first gives the place back.
        timers: Tells how long the attempt took.
        begins: See the call just before it is sent; all must agree.
    """

    async def dispatch(call: Call, tried: set[ServerId]) -> Attempt:
        server = await place(call, tried)
        tried.add(server.id)
        began = timers.now()
        attempt = ABANDONED
        try:
            if all(begin(call, server) for begin in begins):
                attempt = await send(call, server)
            else:
                attempt = WITHDRAWN
        finally:
            took = Seconds(timers.now() - began)
            for observe in observers:
                observe(call, server, attempt, took)
        return attempt

    return dispatch
