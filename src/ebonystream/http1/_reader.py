"""Incremental readers of HTTP/1.1 messages, based on httptools."""

from collections.abc import Callable

import attrs
import httptools

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1._collector import MessageCollector, count_head_bytes
from ebonystream.http1._message import Message, MessageInfo, ReaderLimits
from ebonystream.http1._statusline import find_status_line_error

RECEIVE_BYTES = 65_536
"""Maximum number of bytes received from a connection at once."""

NO_STATUS = 0
EXPECT_CONTINUE = (b'expect', b'100-continue')

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


Meter = Callable[['MessageReader'], None]
"""Called whenever a reader holds more or less than before.

It raises `EbonystreamError` if the reader must not hold that much.
"""


@attrs.define
class MessageReader:
    """Reads messages from the bytes of one connection.

    Attributes:
        collector: Assembles messages from the parser's callbacks.
        parser: The httptools parser of the connection.
        meter: Called after each change of what is held; None for none.
        unfinished_bytes: Bytes since the last body byte or end of a message.
    """

    collector: MessageCollector
    parser: Parser
    meter: Meter | None = None
    unfinished_bytes: int = 0
    _body_bytes_seen: int = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Args:
            data: Bytes received. At the end of the connection, call `finish`
                instead of feeding empty bytes.

        Raises:
            EbonystreamError: The message is malformed or too large.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._record_malformed(str(error))
        except httptools.HttpParserUpgrade:
            self._record_malformed('upgrades are not supported')
        self.raise_for_error()
        self._check_unfinished_part(len(data))
        if self.meter is not None:
            self.meter(self)

    def next_message(self) -> Message | None:
        """Return the next complete message, or None if there is none yet."""
        message = self.collector.completed.take()
        if message is not None and self.meter is not None:
            self.meter(self)
        return message

    def finish(self) -> Message | None:
        """Return the response that ends with the connection, if any.

        Only a response with neither a content length nor chunked encoding
        is complete when the connection closes.
        """
        collector = self.collector
        names = {name for name, _ in collector.headers}
        has_framing = names & {b'content-length', b'transfer-encoding'}
        if has_framing or not (collector.in_message and collector.in_body):
            return None
        message = collector.build_message(collector.read_info())
        return attrs.evolve(message, keep_alive=False)

    def has_pending(self) -> bool:
        """Return whether a message has started or is waiting to be taken."""
        return self.collector.in_message or bool(
            self.collector.completed.messages
        )

    def is_drained(self) -> bool:
        """Return whether nothing was received beyond the messages taken."""
        return not self.has_pending() and self.collector.error is None

    def expects_continue(self) -> bool:
        """Return whether the sender awaits `100 Continue` before the body."""
        collector = self.collector
        if not (collector.in_message and collector.in_body):
            return False
        return any(_is_expect_continue(field) for field in collector.headers)

    def close(self) -> None:
        """Free the memory of what was received and not taken.

        The parser and the collector refer to one another, so that it would be
        kept until the next garbage collection.
        """
        self.collector.discard()
        self.collector.error = None
        self.unfinished_bytes = 0

    def raise_for_error(self) -> None:
        """Raise the error found in the bytes so far, if any.

        Raises:
            EbonystreamError: The input was invalid; nothing more can be read
                from this connection.
        """
        if self.collector.error is not None:
            raise self.collector.error

    def _record_malformed(self, detail: str) -> None:
        if self.collector.error is None:
            self.collector.error = EbonystreamError(
                ErrorKind.MALFORMED_REQUEST, detail
            )

    def _check_unfinished_part(self, size: int) -> None:
        """Limit the bytes fed without a body byte or the end of a message.

        The parser reports a field of the head or the trailer only once it is
        complete, and nothing of informational responses and the extensions of
        chunks, so the collector cannot count one that never ends.
        """
        collector = self.collector
        has_body_bytes = collector.body.size != self._body_bytes_seen
        self._body_bytes_seen = collector.body.size
        if not collector.in_message or has_body_bytes:
            self.unfinished_bytes = 0
            return
        self.unfinished_bytes += size
        limit = collector.limits.head_bytes
        if self.unfinished_bytes > limit + RECEIVE_BYTES:
            collector.error = EbonystreamError(
                ErrorKind.HEAD_TOO_LARGE, f'more than {limit} bytes'
            )
            raise collector.error


def count_held_bytes(reader: MessageReader) -> int:
    """Return the memory of what a reader has received and was not taken.

    Args:
        reader: The reader.
    """
    collector = reader.collector
    if not collector.in_message:
        return collector.completed.size
    current = count_head_bytes(collector) + collector.body.size
    return collector.completed.size + current + reader.unfinished_bytes


def count_awaited_bytes(reader: MessageReader) -> int:
    """Return how many bytes of the current body are still to come.

    Args:
        reader: The reader.

    Returns:
        The number of bytes; 0 where the head does not announce them.
    """
    collector = reader.collector
    if not collector.in_message:
        return 0
    return max(0, collector.announced_bytes - collector.body.size)


def make_request_reader(limits: ReaderLimits) -> MessageReader:
    """Make a reader of requests.

    Args:
        limits: Size limits of a request.
    """

    def read_info() -> MessageInfo:
        return MessageInfo(
            method=parser.get_method(),
            status=NO_STATUS,
            keep_alive=parser.should_keep_alive(),
            version=parser.get_http_version(),
        )

    collector = MessageCollector(limits, read_info, checks_announced=True)
    parser = httptools.HttpRequestParser(collector)
    return MessageReader(collector, parser)


def make_response_reader(limits: ReaderLimits) -> MessageReader:
    """Make a reader of responses.

    Args:
        limits: Size limits of a response.
    """

    def read_info() -> MessageInfo:
        return MessageInfo(
            method=b'',
            status=parser.get_status_code(),
            keep_alive=parser.should_keep_alive(),
            version=parser.get_http_version(),
        )

    collector = MessageCollector(
        limits, read_info, find_head_error=_find_response_error
    )
    parser = httptools.HttpResponseParser(collector)
    return MessageReader(collector, parser)


def _find_response_error(info: MessageInfo) -> EbonystreamError | None:
    return find_status_line_error(info.version, info.status)


def _is_expect_continue(field: tuple[bytes, bytes]) -> bool:
    return (field[0], field[1].lower()) == EXPECT_CONTINUE
