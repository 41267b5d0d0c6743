"""Dispatch: one attempt of a call, from placement to observers."""

from collections.abc import Awaitable, Callable, Sequence

from ebonystream._ids import Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._attempt import ABANDONED, WITHDRAWN, Attempt
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call

Place = Callable[[Call, set[ServerId]], Awaitable[BackendServer]]
"""Selects a server with room for a call, outside of the set of tried servers,
and counts the call as in flight there; waits while all servers are full.

Raises `EbonystreamError` if no server may take the call: it did not run.
"""

Send = Callable[[Call, BackendServer], Awaitable[Attempt]]
"""Sends a call to one server and returns the result of the attempt."""

MayTake = Callable[[Call, BackendServer], bool]
"""Returns whether a call may be placed at a server now."""

Begin = Callable[[Call, BackendServer], bool]
"""Checks each placed call in the same scheduler step in which it is sent.

Returns False if the call may no longer be sent, because the state of the
server has changed since the call was placed.
"""

Observe = Callable[[Call, BackendServer, Attempt, Seconds], None]
"""Records an attempt and its duration, in seconds."""

Dispatch = Callable[[Call, set[ServerId]], Awaitable[Attempt]]
"""Makes one attempt and adds its server to the set of tried servers."""


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
        place: Selects a server with room.
        send: Sends the call to the server.
        observers: Called with the result of the attempt, in order; the first
            one releases the place.
        timers: Source of the current time, to measure the attempt.
        begins: Check the call just before it is sent; it is withdrawn if one
            of them returns False.
    """

    async def dispatch(call: Call, tried: set[ServerId]) -> Attempt:
        server = await place(call, tried)
        tried.add(server.id)
        started = timers.now()
        attempt = ABANDONED
        try:
            if all(begin(call, server) for begin in begins):
                attempt = await send(call, server)
            else:
                attempt = WITHDRAWN
        finally:
            duration = Seconds(timers.now() - started)
            for observe in observers:
                observe(call, server, attempt, duration)
        return attempt

    return dispatch
