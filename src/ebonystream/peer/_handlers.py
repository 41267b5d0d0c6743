"""What a host does with the messages of its peers."""

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
"""Answers a call that the named host forwards; None gives no answer."""

AnswerFetch = Callable[[HostId, FetchSnapshot], Awaitable[Snapshot | None]]
"""Answers the named host's request for a snapshot; None gives no answer."""

TakeHeartbeat = Callable[[Heartbeat], None]
"""Learns from a peer's heartbeat."""

TakeNote = Callable[[HostId, PeerNote], None]
"""Takes a note of the named host."""


def drop_note(sender: HostId, note: PeerNote) -> None:
    """Do nothing with a note."""


@attrs.frozen(kw_only=True)
class Handlers:
    """What a host does with the messages of its peers.

    The exchange fills in the correlation of each answer. A handler may be
    given the same request twice.

    Attributes:
        answer_call: Answers a forwarded call.
        answer_fetch: Answers a request for a snapshot.
        take_heartbeat: Learns from a heartbeat.
        take_note: Takes a note about slots.
    """

    answer_call: AnswerCall
    answer_fetch: AnswerFetch
    take_heartbeat: TakeHeartbeat
    take_note: TakeNote = drop_note

    async def answer(
        self, sender: HostId, request: PeerRequest
    ) -> PeerAnswer | None:
        """Answer any request of a peer; None gives no answer."""
        if isinstance(request, ForwardCall):
            return await self.answer_call(sender, request)
        return await self.answer_fetch(sender, request)
