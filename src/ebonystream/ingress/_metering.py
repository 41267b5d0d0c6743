"""Accounting of what one connection holds, where it is received and sent."""

import fcntl
import termios
from array import array
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from functools import partial

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import (
    Message,
    MessageReader,
    count_awaited_bytes,
    count_held_bytes,
)
from ebonystream.ingress._account import SMALL_MESSAGE_BYTES, Account
from ebonystream.ingress._memory_budget import MemoryBudget
from ebonystream.ingress._presence import CallerPresence
from ebonystream.ingress._response import EncodedResponse, Respond

SEND_SLICE_BYTES = 262_144
"""Largest part of a response that is sent at once, so that its progress is
seen."""


@attrs.define(kw_only=True)
class ConnectionMeter:
    """Keeps the account of one connection.

    Attributes:
        budget: Bytes held for all clients.
        account: Account of the connection.
        timers: Source of the current time.
    """

    budget: MemoryBudget
    account: Account
    timers: Timers

    def observe_reader(self, reader: MessageReader) -> None:
        """Count what a reader holds, and what it is to receive.

        Args:
            reader: The reader of the connection.

        Raises:
            EbonystreamError: It does not fit, or gave way to other requests.
        """
        account = self.account
        if not (account.reading_bytes or reader.collector.in_message):
            # The usual request is small and was received at once.
            if reader.collector.completed.size <= SMALL_MESSAGE_BYTES:
                return
        held = count_held_bytes(reader)
        size = held + count_awaited_bytes(reader)
        now = self.timers.now()
        if size > SMALL_MESSAGE_BYTES or account.reading_bytes:
            try:
                self._set_reading(size, now)
            except EbonystreamError as error:
                # The reader keeps it, as what follows is not read.
                reader.collector.error = error
                raise
        account.reading.moved_at = now
        account.reading.moved_bytes = held

    @contextmanager
    def receive(self, scope: trio.CancelScope) -> Iterator[None]:
        """Account for the receipt of a request, which may have to give way.

        Args:
            scope: Cancelled if the request gives way.
        """
        account = self.account
        account.reading.start(self.timers.now())
        account.stop_receiving = scope.cancel
        try:
            yield
        finally:
            account.stop_receiving = None

    @contextmanager
    def serve(self, size: int) -> Iterator[None]:
        """Account for a request that is handled.

        Args:
            size: Bytes of the request.
        """
        self.budget.add_serving(self.account, size)
        try:
            yield
        finally:
            self.budget.add_serving(self.account, -size)

    def add_response(self, size: int) -> None:
        """Account for a response until it is sent.

        Args:
            size: Bytes of the encoded response.
        """
        if size > SMALL_MESSAGE_BYTES:
            self.budget.add_sending(self.account, size, self.timers.now())

    def start_sending(self) -> None:
        """Judge the progress of what is sent, also if it is not counted."""
        if self.account.sending_bytes == 0:
            self.account.sending.start(self.timers.now())
        self.account.is_sending = True

    def record_sent(self, size: int) -> None:
        """Record that bytes of a response were sent.

        Args:
            size: Bytes that were sent.
        """
        if self.account.sending_bytes:
            now = self.timers.now()
            self.budget.record_sent(self.account, size, now)

    def _set_reading(self, size: int, now: Monotonic) -> None:
        if self.account.is_shed:
            raise EbonystreamError(ErrorKind.SLOW_SENDER)
        counted = size if size > SMALL_MESSAGE_BYTES else 0
        self.budget.set_reading(self.account, counted, now)


@attrs.define(eq=False)
class MeteredStream(trio.abc.Stream):
    """A connection whose sent bytes are accounted for.

    Attributes:
        inner: The connection.
        meter: Keeps its account.
    """

    inner: trio.abc.Stream
    meter: ConnectionMeter

    def receive_some(
        self, max_bytes: int | None = None
    ) -> Coroutine[object, object, bytes | bytearray]:
        """Receive bytes.

        Args:
            max_bytes: The most to receive.
        """
        return self.inner.receive_some(max_bytes)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all bytes, large messages in parts.

        Args:
            data: The bytes.
        """
        self.meter.start_sending()
        try:
            await self._send_parts(data)
        finally:
            self.meter.account.is_sending = False

    async def send_eof(self) -> None:
        """Close the sending side of a network connection."""
        if isinstance(self.inner, trio.SocketStream):
            await self.inner.send_eof()

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection may accept bytes."""
        await self.inner.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()

    async def _send_parts(self, data: bytes | bytearray | memoryview) -> None:
        if len(data) <= SEND_SLICE_BYTES:
            await self.inner.send_all(data)
            self.meter.record_sent(len(data))
            return
        with memoryview(data) as view:
            for start in range(0, len(view), SEND_SLICE_BYTES):
                part = view[start : start + SEND_SLICE_BYTES]
                await self.inner.send_all(part)
                self.meter.record_sent(len(part))


def meter_respond(meter: ConnectionMeter, respond: Respond) -> Respond:
    """Account for requests while they are handled, and for responses.

    Args:
        meter: Keeps the account of their connection.
        respond: Handles a request.
    """

    async def respond_metered(
        message: Message, arrived_at: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        size = message.count_bytes()
        if size > SMALL_MESSAGE_BYTES:
            with meter.serve(size):
                response = await respond(message, arrived_at, presence)
        else:
            response = await respond(message, arrived_at, presence)
        meter.add_response(len(response.content))
        return response

    return respond_metered


@contextmanager
def open_meter(
    stream: trio.abc.Stream,
    budget: MemoryBudget,
    scope: trio.CancelScope,
    timers: Timers,
) -> Iterator[ConnectionMeter]:
    """Keep the account of a connection while it is open.

    Args:
        stream: The connection.
        budget: Bytes held for all clients.
        scope: Cancelled to close the connection.
        timers: Source of the current time.
    """
    account = budget.book.open(
        scope.cancel, count_unread=partial(_count_unread_bytes, stream)
    )
    try:
        yield ConnectionMeter(budget=budget, account=account, timers=timers)
    finally:
        budget.book.close(account)


def _count_unread_bytes(stream: trio.abc.Stream) -> int:
    """Return the bytes that the kernel has received and holds unread."""
    if not isinstance(stream, trio.SocketStream):
        return 0
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return 0
    count = array('i', [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, count)
    return count[0]
