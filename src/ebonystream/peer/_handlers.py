"""Handlers of the messages of peers."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import HostId
from ebonystream.peer._messages import (
    ForwardedCall,
    ForwardedResponse,
    Heartbeat,
    PeerRequest,
    PeerResponse,
    SnapshotRequest,
    SnapshotResponse,
)
from ebonystream.peer._slots import SlotMessage

RespondToCall = Callable[
    [HostId, ForwardedCall], Awaitable[ForwardedResponse | None]
]
"""Respond to a call that a host forwards; None sends no response."""

RespondToSnapshotRequest = Callable[
    [HostId, SnapshotRequest], Awaitable[SnapshotResponse | None]
]
"""Respond to the request of a host for a snapshot; None sends no response."""

OnHeartbeat = Callable[[Heartbeat], None]
"""Callback for the heartbeat of a peer."""

OnSlotMessage = Callable[[HostId, SlotMessage], None]
"""Callback for a message of a host about slots."""


def ignore_slot_message(sender: HostId, message: SlotMessage) -> None:
    """Ignore a message about slots."""


@attrs.frozen(kw_only=True)
class Handlers:
    """Handlers of the messages of peers.

    The exchange sets the correlation id of each response. A handler may be
    called twice with the same request.

    Attributes:
        respond_to_call: Responds to a forwarded call.
        respond_to_snapshot_request: Responds to a request for a snapshot.
        on_heartbeat: Called with each heartbeat.
        on_slot_message: Called with each message about slots.
    """

    respond_to_call: RespondToCall
    respond_to_snapshot_request: RespondToSnapshotRequest
    on_heartbeat: OnHeartbeat
    on_slot_message: OnSlotMessage = ignore_slot_message

    async def respond(
        self, sender: HostId, request: PeerRequest
    ) -> PeerResponse | None:
        """Return the response to a request of a peer; None to send none."""
        if isinstance(request, ForwardedCall):
            return await self.respond_to_call(sender, request)
        return await self.respond_to_snapshot_request(sender, request)
