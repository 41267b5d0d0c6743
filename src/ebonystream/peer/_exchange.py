"""The exchange: requests to peers and their answers, paired by correlation."""

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
"""Frames that are taken in before other tasks get their turn."""


@attrs.frozen(kw_only=True)
class ExchangeLimits:
    """What peers may send to this host.

    Attributes:
        message_bytes: The longest frame that is sent or taken.
        requests: Requests of peers that are answered at the same time.
    """

    message_bytes: int
    requests: int


@attrs.define(kw_only=True)
class Exchange:
    """Talks with peers: requests, their answers, and heartbeats.

    Attributes:
        host: This host.
        incarnation: This run of it.
        transport: Carries the frames.
        limits: What peers may send to this host.
        questions: This host's requests that wait for an answer.
        drops: Counts what was dropped, by its reason.
        running: Requests of peers that are being answered.
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
        """Ask a peer and wait for its answer.

        Args:
            host: The peer.
            request: What is asked; its correlation is filled in here.
            deadline: Until when the answer is waited for.

        Raises:
            EbonystreamError: No answer came, of the kind
                `OWNER_UNREACHABLE`; the peer may have acted all the same.
        """
        with self.questions.open(host, request) as question:
            self._send(
                host,
                msgspec.structs.replace(
                    request, correlation=question.correlation
                ),
            )
            with trio.move_on_at(deadline):
                await question.wait()
            if question.answer is not None:
                return question.answer
        raise EbonystreamError(
            ErrorKind.OWNER_UNREACHABLE, f'{host} did not answer in time'
        )

    def send_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to a peer, best effort."""
        self._transmit(host, heartbeat)

    def send_note(self, host: HostId, note: PeerNote) -> None:
        """Send a note to a peer, best effort."""
        self._send(host, note)

    async def run(self, handlers: Handlers) -> None:
        """Take what peers send, for ever, each request in its own task.

        Args:
            handlers: What is done with the messages.
        """
        max_bytes = self.limits.message_bytes
        async with trio.open_nursery() as nursery:
            for number in itertools.count(1):
                sent = await self.transport.receive()
                frame = decode_frame(sent, max_bytes=max_bytes)
                if isinstance(frame, DropReason):
                    self.drops[frame] += 1
                elif isinstance(frame, Heartbeat):
                    self._take_heartbeat(frame, handlers)
                else:
                    self._take_envelope(frame, handlers, nursery)
                if number % BURST_FRAMES == 0:
                    await trio.lowlevel.checkpoint()

    def _take_heartbeat(self, heartbeat: Heartbeat, handlers: Handlers) -> None:
        if heartbeat.host == self.host:
            self.drops[DropReason.OWN_NAME] += 1
        else:
            handlers.take_heartbeat(heartbeat)

    def _take_envelope(
        self, envelope: Envelope, handlers: Handlers, nursery: trio.Nursery
    ) -> None:
        message = envelope.message
        if envelope.sender == self.host:
            self.drops[DropReason.OWN_NAME] += 1
        elif isinstance(message, ForwardAnswer | Snapshot):
            self._take_answer(envelope, message)
        elif isinstance(message, AskSlots | GrantSlot):
            handlers.take_note(envelope.sender, message)
        elif self.running >= self.limits.requests:
            self.drops[DropReason.OVERLOADED] += 1
        else:
            self.running += 1
            nursery.start_soon(self._answer, envelope, message, handlers)

    def _take_answer(self, envelope: Envelope, answer: PeerAnswer) -> None:
        reason: DropReason | None = DropReason.OTHER_RECIPIENT
        if envelope.recipient == self.incarnation:
            reason = self.questions.settle(envelope.sender, answer)
        if reason is not None:
            self.drops[reason] += 1

    async def _answer(
        self, envelope: Envelope, request: PeerRequest, handlers: Handlers
    ) -> None:
        try:
            answer = await handlers.answer(envelope.sender, request)
        except EbonystreamError:
            answer = None
        finally:
            self.running -= 1
        if answer is None:
            self.drops[DropReason.DECLINED] += 1
            return
        answer = msgspec.structs.replace(
            answer, correlation=request.correlation
        )
        self._send(envelope.sender, answer, recipient=envelope.incarnation)

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
