"""Requests of one connection that are served at the same time."""

from collections import deque

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream.http1 import Message
from ebonystream.ingress._account import SMALL_MESSAGE_BYTES
from ebonystream.ingress._presence import CallerPresence
from ebonystream.ingress._response import EncodedResponse, MayOverlap

MAX_PIPELINED_REQUESTS = 8
"""Maximum number of requests of a connection that are served at once."""


@attrs.define(eq=False)
class PendingRequest:
    """A request whose response has not been sent yet.

    Attributes:
        message: The request; without its content once a large one is answered.
        arrived_at: When its first byte arrived.
        presence: Whether the caller still waits for the response.
        overlaps: Whether it may overlap with others; None until it is asked.
        response: The response; None until it is known.
        answered: Set when `response` is known.
        sent: Set when the response has been sent.
    """

    message: Message
    arrived_at: Monotonic
    presence: CallerPresence = attrs.field(factory=CallerPresence)
    overlaps: bool | None = None
    response: EncodedResponse | None = None
    answered: trio.Event = attrs.field(factory=trio.Event)
    sent: trio.Event = attrs.field(factory=trio.Event)

    def answer(self, response: EncodedResponse) -> None:
        """Keep the response until those to earlier requests have been sent."""
        self.response = response
        self.answered.set()

    async def wait_for_response(self) -> EncodedResponse:
        """Wait until the response is known and return it."""
        await self.answered.wait()
        assert self.response is not None, 'a request ended without a response'
        return self.response


@attrs.define
class Pipeline:
    """Requests of a connection, in the order in which they are answered.

    A request is accepted behind others only if all of them may overlap and the
    connection stays open after them: what is forwarded to a server must also
    be answered.

    Attributes:
        may_overlap: Tells whether a request may overlap with others.
        pending: Requests whose responses have not been sent, oldest first.
        closing: Whether no further request is accepted, since a response closes
            the connection or all responses have been sent.
        is_disconnected: Whether the caller has disconnected.
    """

    may_overlap: MayOverlap
    pending: deque[PendingRequest] = attrs.field(factory=deque)
    closing: bool = False
    is_disconnected: bool = False

    def accepts(self, message: Message) -> bool:
        """Return whether a request may be served now.

        Args:
            message: The next request of the connection.
        """
        if self.closing or len(self.pending) >= MAX_PIPELINED_REQUESTS:
            return False
        if not all(earlier.message.keep_alive for earlier in self.pending):
            return False
        if not all(map(self._overlaps, self.pending)):
            return False
        return not self.pending or self.may_overlap(message)

    def add(self, message: Message, arrived_at: Monotonic) -> PendingRequest:
        """Add a request behind the pending ones.

        Args:
            message: The request.
            arrived_at: When its first byte arrived.
        """
        for earlier in self.pending:
            earlier.presence.has_followers = True
        request = PendingRequest(message, arrived_at)
        request.presence.disconnected = self.is_disconnected
        self.pending.append(request)
        return request

    def record_response(
        self, request: PendingRequest, response: EncodedResponse
    ) -> None:
        """Record the response to a request.

        Args:
            request: The request.
            response: Its response.
        """
        self.closing = self.closing or response.close
        if request.message.count_bytes() > SMALL_MESSAGE_BYTES:
            self._free_content(request)
        request.answer(response)

    def mark_disconnected(self) -> None:
        """Record that the caller waits for no response any more."""
        self.is_disconnected = True
        for request in self.pending:
            request.presence.mark_disconnected()

    def _overlaps(self, request: PendingRequest) -> bool:
        if request.overlaps is None:
            request.overlaps = self.may_overlap(request.message)
        return request.overlaps

    def _free_content(self, request: PendingRequest) -> None:
        """Free the content of a request whose response is known.

        The memory budget does not count it any more, and its response may have
        to wait for earlier ones and for the client.
        """
        self._overlaps(request)
        request.message = attrs.evolve(
            request.message, target=b'', headers=(), body=b'', head_bytes=0
        )
