"""Readers of one connection's messages, on the parser of httptools."""

import attrs
import httptools

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1._collector import (
    Message,
    MessageCollector,
    MessageInfo,
    ReaderLimits,
)

RECEIVE_BYTES = 65_536
"""How much is taken from a connection at once."""

NO_STATUS = 0
EXPECT_CONTINUE = (b'expect', b'100-continue')

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


@attrs.define
class MessageReader:
    """Reads messages from the bytes of one connection.

    Attributes:
        collector: Collects the parser's reports.
        parser: The parser.
    """

    collector: MessageCollector
    parser: Parser
    _fed_bytes: int = 0

    def feed(self, arrived: bytes) -> None:
        """Take bytes that arrived.

        Args:
            arrived: Some bytes; the end of the connection is not fed.

        Raises:
            EbonystreamError: They are no message, or one that is too long.
        """
        try:
            self.parser.feed_data(arrived)
        except httptools.HttpParserError as error:
            self._note_fault(str(error))
        except httptools.HttpParserUpgrade:
            self._note_fault('upgrades are not supported')
        self.raise_for_error()
        self._check_unended_head(len(arrived))

    def next_message(self) -> Message | None:
        """Give the next whole message, if one has come."""
        if self.collector.completed:
            return self.collector.completed.popleft()
        return None

    def finish(self) -> Message | None:
        """Give the response that the connection's end completes, if any."""
        collector = self.collector
        names = {name for name, _ in collector.headers}
        framed = names & {b'content-length', b'transfer-encoding'}
        if framed or not (collector.in_message and collector.in_body):
            return None
        message = collector.build_message(collector.read_info())
        return attrs.evolve(message, keep_alive=False)

    def has_pending(self) -> bool:
        """Tell whether a part of a message has come, or a whole one."""
        return self.collector.in_message or bool(self.collector.completed)

    def is_drained(self) -> bool:
        """Tell whether nothing came beyond the messages that were taken."""
        return not self.has_pending() and self.collector.error is None

    def expects_continue(self) -> bool:
        """Tell whether the sender waits to be told to send the body."""
        collector = self.collector
        if not (collector.in_message and collector.in_body):
            return False
        return any(_is_continue(field) for field in collector.headers)

    def raise_for_error(self) -> None:
        """Check that no byte so far was at fault.

        Raises:
            EbonystreamError: One was; the connection carries no more.
        """
        if self.collector.error is not None:
            raise self.collector.error

    def _note_fault(self, detail: str) -> None:
        if self.collector.error is None:
            self.collector.error = EbonystreamError(
                ErrorKind.MALFORMED_REQUEST, detail
            )

    def _check_unended_head(self, size: int) -> None:
        """Count the bytes of a head whose fields the parser can't report."""
        collector = self.collector
        if not collector.in_message or collector.in_body:
            self._fed_bytes = 0
            return
        self._fed_bytes += size
        limit = collector.limits.head_bytes
        if self._fed_bytes > limit + RECEIVE_BYTES:
            raise EbonystreamError(
                ErrorKind.HEAD_TOO_LARGE, f'more than {limit} bytes'
            )


def make_request_reader(limits: ReaderLimits) -> MessageReader:
    """Make a reader of requests.

    Args:
        limits: The longest request that is taken.
    """

    def ask_facts() -> MessageInfo:
        return MessageInfo(
            method=parser.get_method(),
            status=NO_STATUS,
            keep_alive=parser.should_keep_alive(),
        )

    collector = MessageCollector(limits, ask_facts)
    parser = httptools.HttpRequestParser(collector)
    return MessageReader(collector, parser)


def make_response_reader(limits: ReaderLimits) -> MessageReader:
    """Make a reader of responses.

    Args:
        limits: The longest response that is taken.
    """

    def ask_facts() -> MessageInfo:
        return MessageInfo(
            method=b'',
            status=parser.get_status_code(),
            keep_alive=parser.should_keep_alive(),
        )

    collector = MessageCollector(limits, ask_facts)
    parser = httptools.HttpResponseParser(collector)
    return MessageReader(collector, parser)


def _is_continue(field: tuple[bytes, bytes]) -> bool:
    return (field[0], field[1].lower()) == EXPECT_CONTINUE
