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
    FetchSnapshot,
    ForwardAnswer,
    ForwardCall,
    Heartbeat,
    PeerAnswer,
    PeerRequest,
    Snapshot,
)
from ebonystream.peer._questions import Questions
from ebonystream.peer._slots import AskSlots, GrantSlot, PeerNote
from ebonystream.peer._transport import Transport

BURST_FRAMES = 16
"""Frames that are received in a row before other tasks may run."""


@attrs.frozen(kw_only=True)
class ExchangeLimits:
    """Limits on messages and on requests of peers.

    Attributes:
        message_bytes: Maximum size of a frame that is sent or received.
        requests: Maximum number of requests of peers handled at the same time.
    """

    message_bytes: int
    requests: int


@attrs.define(kw_only=True)
class Exchange:
    """Exchange requests, responses and other messages with peers.

    Attributes:
        host: Name of this host.
        incarnation: Incarnation of this host.
        transport: Transport of the frames.
        limits: Limits on messages and on requests of peers.
        questions: Requests of this host that wait for a response.
        drops: Number of messages that were dropped, by reason.
        running: Number of requests of peers that are being handled.
    """

    host: HostId
    incarnation: Incarnation
    transport: Transport
    limits: ExchangeLimits
    questions: Questions
    drops: Counter[DropReason] = attrs.field(factory=Counter)
    running: int = 0

    @overload
    async def ask(
        self, host: HostId, request: ForwardCall, deadline: Monotonic
    ) -> ForwardAnswer:
        raise NotImplementedError

    @overload
    async def ask(
        self, host: HostId, request: FetchSnapshot, deadline: Monotonic
    ) -> Snapshot:
        raise NotImplementedError

    async def ask(
        self, host: HostId, request: PeerRequest, deadline: Monotonic
    ) -> PeerAnswer:
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
        with self.questions.open(host, request) as pending:
            self._send(
                host,
                msgspec.structs.replace(
                    request, correlation=pending.correlation
                ),
            )
            with trio.move_on_at(deadline):
                await pending.wait()
            if pending.answer is not None:
                return pending.answer
        raise EbonystreamError(
            ErrorKind.OWNER_UNREACHABLE, f'{host} did not answer in time'
        )

    def send_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to a peer, without retrying."""
        self._transmit(host, heartbeat)

    def send_note(self, host: HostId, note: PeerNote) -> None:
        """Send a message about slots to a peer, without retrying."""
        self._send(host, note)

    async def run(self, handlers: Handlers) -> None:
        """Receive messages of peers, without end.

        Each request is handled in its own task.

        Args:
            handlers: Handlers of the messages.
        """
        max_bytes = self.limits.message_bytes
        async with trio.open_nursery() as nursery:
            for frame_number in itertools.count(1):
                encoded = await self.transport.receive()
                frame = decode_frame(encoded, max_bytes=max_bytes)
                if isinstance(frame, DropReason):
                    self.drops[frame] += 1
                elif isinstance(frame, Heartbeat):
                    self._handle_heartbeat(frame, handlers)
                else:
                    self._handle_envelope(frame, handlers, nursery)
                if frame_number % BURST_FRAMES == 0:
                    await trio.lowlevel.checkpoint()

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, handlers: Handlers
    ) -> None:
        if heartbeat.host == self.host:
            self.drops[DropReason.OWN_NAME] += 1
        else:
            handlers.take_heartbeat(heartbeat)

    def _handle_envelope(
        self, envelope: Envelope, handlers: Handlers, nursery: trio.Nursery
    ) -> None:
        message = envelope.message
        if envelope.sender == self.host:
            self.drops[DropReason.OWN_NAME] += 1
        elif isinstance(message, ForwardAnswer | Snapshot):
            self._handle_response(envelope, message)
        elif isinstance(message, AskSlots | GrantSlot):
            handlers.take_note(envelope.sender, message)
        elif self.running >= self.limits.requests:
            self.drops[DropReason.OVERLOADED] += 1
        else:
            self.running += 1
            nursery.start_soon(
                self._handle_request, envelope, message, handlers
            )

    def _handle_response(
        self, envelope: Envelope, response: PeerAnswer
    ) -> None:
        reason: DropReason | None = DropReason.OTHER_RECIPIENT
        if envelope.recipient == self.incarnation:
            reason = self.questions.settle(envelope.sender, response)
        if reason is not None:
            self.drops[reason] += 1

    async def _handle_request(
        self, envelope: Envelope, request: PeerRequest, handlers: Handlers
    ) -> None:
        try:
            response = await handlers.answer(envelope.sender, request)
        except EbonystreamError:
            response = None
        finally:
            self.running -= 1
        if response is None:
            self.drops[DropReason.DECLINED] += 1
            return
        response = msgspec.structs.replace(
            response, correlation=request.correlation
        )
        self._send(envelope.sender, response, recipient=envelope.incarnation)

    def _send(
        self,
        host: HostId,
        message: PeerRequest | PeerAnswer | PeerNote,
        *,
        recipient: Incarnation | None = None,
    ) -> None:
        self._transmit(
            host, Envelope(self.host, self.incarnation, recipient, message)
        )

    def _transmit(self, host: HostId, frame: Frame) -> None:
        encoded = encode_frame(frame)
        if len(encoded) > self.limits.message_bytes:
            self.drops[DropReason.OVERSIZE] += 1
        else:
            self.transport.send(host, encoded)
