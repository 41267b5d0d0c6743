"""Handlers of the messages of peers."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import HostId
from ebonystream.peer._messages import (
    FetchSnapshot,
    ForwardAnswer,
    ForwardCall,
    Heartbeat,
    PeerAnswer,
    PeerRequest,
    Snapshot,
)
from ebonystream.peer._slots import PeerNote

AnswerCall = Callable[[HostId, ForwardCall], Awaitable[ForwardAnswer | None]]
"""Respond to a call that a host forwards; None sends no response."""

AnswerFetch = Callable[[HostId, FetchSnapshot], Awaitable[Snapshot | None]]
"""Respond to the request of a host for a snapshot; None sends no response."""

TakeHeartbeat = Callable[[Heartbeat], None]
"""Callback for the heartbeat of a peer."""

TakeNote = Callable[[HostId, PeerNote], None]
"""Callback for a message of a host about slots."""


def drop_note(sender: HostId, note: PeerNote) -> None:
    """Ignore a message about slots."""


@attrs.frozen(kw_only=True)
class Handlers:
    """Handlers of the messages of peers.

    The exchange sets the correlation id of each response. A handler may be
    called twice with the same request.

    Attributes:
        answer_call: Responds to a forwarded call.
        answer_fetch: Responds to a request for a snapshot.
        take_heartbeat: Called with each heartbeat.
        take_note: Called with each message about slots.
    """

    answer_call: AnswerCall
    answer_fetch: AnswerFetch
    take_heartbeat: TakeHeartbeat
    take_note: TakeNote = drop_note

    async def answer(
        self, sender: HostId, request: PeerRequest
    ) -> PeerAnswer | None:
        """Return the response to a request of a peer; None to send none."""
        if isinstance(request, ForwardCall):
            return await self.answer_call(sender, request)
        return await self.answer_fetch(sender, request)
