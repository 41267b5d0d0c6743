"""Exchange of messages with peers; correlation ids pair their responses."""

import itertools
from collections import Counter
from typing import overload

import attrs
import msgspec
import trio

from ebonystream._ids import HostId, Incarnation, Monotonic
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.peer._drop import DropReason
from ebonystream.peer._frame import (
    Envelope,
    Frame,
    decode_frame,
    encode_frame,
)
from ebonystream.peer._handlers import Handlers
from ebonystream.peer._messages import (
    ForwardedCall,
    ForwardedResponse,
    Heartbeat,
    PeerRequest,
    PeerResponse,
    SnapshotRequest,
    SnapshotResponse,
)
from ebonystream.peer._pending import PendingRequests
from ebonystream.peer._slots import SlotGrant, SlotMessage, SlotRequest
from ebonystream.peer._transport import Transport

FRAMES_PER_CHECKPOINT = 16
"""Frames that are received in a row before other tasks may run."""


@attrs.frozen(kw_only=True)
class ExchangeLimits:
    """Limits on messages and on requests of peers.

    Attributes:
        max_message_bytes: Maximum size of a frame that is sent or received, in
            bytes.
        max_requests: Maximum number of requests of peers that are handled at
            the same time.
    """

    max_message_bytes: int
    max_requests: int


@attrs.define(kw_only=True)
class Exchange:
    """Exchange requests, responses and other messages with peers.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this host.
        transport: Transport of the frames.
        limits: Limits on messages and on requests of peers.
        pending_requests: Requests of this host that wait for a response.
        dropped_messages: Number of messages that were dropped, by reason.
        active_requests: Number of requests of peers that are being handled.
    """

    host: HostId
    incarnation: Incarnation
    transport: Transport
    limits: ExchangeLimits
    pending_requests: PendingRequests
    dropped_messages: Counter[DropReason] = attrs.field(factory=Counter)
    active_requests: int = 0

    @overload
    async def send_request(
        self, host: HostId, request: ForwardedCall, deadline: Monotonic
    ) -> ForwardedResponse:
        raise NotImplementedError

    @overload
    async def send_request(
        self, host: HostId, request: SnapshotRequest, deadline: Monotonic
    ) -> SnapshotResponse:
        raise NotImplementedError

    async def send_request(
        self, host: HostId, request: PeerRequest, deadline: Monotonic
    ) -> PeerResponse:
        """Send a request to a peer and wait for the response.

        Args:
            host: Peer to send to.
            request: Request to send; its correlation id is set here.
            deadline: When to stop waiting for the response.

        Raises:
            EbonystreamError: No response arrived, of the kind
                `OWNER_UNREACHABLE`; the peer may still have handled the
                request.
        """
        with self.pending_requests.track(host, request) as pending:
            self._send(
                host,
                msgspec.structs.replace(
                    request, correlation=pending.correlation
                ),
            )
            with trio.move_on_at(deadline):
                await pending.wait()
            if pending.response is not None:
                return pending.response
        raise EbonystreamError(
            ErrorKind.OWNER_UNREACHABLE, f'{host} did not answer in time'
        )

    def send_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to a peer, without retrying."""
        self._transmit(host, heartbeat)

    def send_slot_message(self, host: HostId, message: SlotMessage) -> None:
        """Send a message about slots to a peer, without retrying."""
        self._send(host, message)

    async def run(self, handlers: Handlers) -> None:
        """Receive messages of peers, without end.

        Each request is handled in its own task.

        Args:
            handlers: Handlers of the messages.
        """
        max_bytes = self.limits.max_message_bytes
        async with trio.open_nursery() as nursery:
            for frame_number in itertools.count(1):
                encoded = await self.transport.receive()
                frame = decode_frame(encoded, max_bytes=max_bytes)
                if isinstance(frame, DropReason):
                    self.dropped_messages[frame] += 1
                elif isinstance(frame, Heartbeat):
                    self._handle_heartbeat(frame, handlers)
                else:
                    self._handle_envelope(frame, handlers, nursery)
                if frame_number % FRAMES_PER_CHECKPOINT == 0:
                    await trio.lowlevel.checkpoint()

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, handlers: Handlers
    ) -> None:
        if heartbeat.host == self.host:
            self.dropped_messages[DropReason.OWN_NAME] += 1
        else:
            handlers.on_heartbeat(heartbeat)

    def _handle_envelope(
        self, envelope: Envelope, handlers: Handlers, nursery: trio.Nursery
    ) -> None:
        message = envelope.message
        if envelope.sender == self.host:
            self.dropped_messages[DropReason.OWN_NAME] += 1
        elif isinstance(message, ForwardedResponse | SnapshotResponse):
            self._handle_response(envelope, message)
        elif isinstance(message, SlotRequest | SlotGrant):
            handlers.on_slot_message(envelope.sender, message)
        elif self.active_requests >= self.limits.max_requests:
            self.dropped_messages[DropReason.OVERLOADED] += 1
        else:
            self.active_requests += 1
            nursery.start_soon(
                self._handle_request, envelope, message, handlers
            )

    def _handle_response(
        self, envelope: Envelope, response: PeerResponse
    ) -> None:
        reason: DropReason | None = DropReason.OTHER_RECIPIENT
        if envelope.recipient == self.incarnation:
            reason = self.pending_requests.resolve(envelope.sender, response)
        if reason is not None:
            self.dropped_messages[reason] += 1

    async def _handle_request(
        self, envelope: Envelope, request: PeerRequest, handlers: Handlers
    ) -> None:
        try:
            response = await handlers.respond(envelope.sender, request)
        except EbonystreamError:
            response = None
        finally:
            self.active_requests -= 1
        if response is None:
            self.dropped_messages[DropReason.NO_RESPONSE] += 1
            return
        response = msgspec.structs.replace(
            response, correlation=request.correlation
        )
        self._send(envelope.sender, response, recipient=envelope.incarnation)

    def _send(
        self,
        host: HostId,
        message: PeerRequest | PeerResponse | SlotMessage,
        *,
        recipient: Incarnation | None = None,
    ) -> None:
        self._transmit(
            host, Envelope(self.host, self.incarnation, recipient, message)
        )

    def _transmit(self, host: HostId, frame: Frame) -> None:
        encoded = encode_frame(frame)
        if len(encoded) > self.limits.max_message_bytes:
            self.dropped_messages[DropReason.OVERSIZE] += 1
        else:
            self.transport.send(host, encoded)
