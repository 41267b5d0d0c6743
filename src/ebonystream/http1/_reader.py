"""Incremental readers of HTTP/1.1 messages, based on httptools."""

import attrs
import httptools

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1._collector import (
    Collector,
    HeadFacts,
    Message,
    ReaderLimits,
)

RECEIVE_BYTES = 65_536
"""Maximum number of bytes received from a connection at once."""

NO_STATUS = 0
CONTINUE = (b'expect', b'100-continue')

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


@attrs.define
class Reader:
    """Reads messages from the bytes of one connection.

    Attributes:
        collector: Assembles messages from the parser's callbacks.
        parser: The httptools parser of the connection.
    """

    collector: Collector
    parser: Parser
    _head_bytes_fed: int = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Args:
            data: Bytes received. The end of the connection is reported by
                `end`, not by empty bytes.

        Raises:
            EbonystreamError: The message is malformed or too large.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._record_malformed(str(error))
        except httptools.HttpParserUpgrade:
            self._record_malformed('upgrades are not supported')
        self.check()
        self._check_incomplete_head(len(data))

    def take(self) -> Message | None:
        """Return the next complete message, or None if there is none yet."""
        if self.collector.done:
            return self.collector.done.popleft()
        return None

    def end(self) -> Message | None:
        """Return the response that ends with the connection, if any.

        Only a response with neither a content length nor chunked encoding
        is complete when the connection closes.
        """
        collector = self.collector
        names = {name for name, _ in collector.headers}
        has_framing = names & {b'content-length', b'transfer-encoding'}
        if has_framing or not (collector.begun and collector.in_body):
            return None
        message = collector.make_message(collector.ask_facts())
        return attrs.evolve(message, keep_alive=False)

    def is_begun(self) -> bool:
        """Return whether a message has started or is waiting to be taken."""
        return self.collector.begun or bool(self.collector.done)

    def is_clean(self) -> bool:
        """Return whether nothing was received beyond the messages taken."""
        return not self.is_begun() and self.collector.fault is None

    def waits_for_continue(self) -> bool:
        """Return whether the sender awaits `100 Continue` before the body."""
        collector = self.collector
        if not (collector.begun and collector.in_body):
            return False
        return any(_is_expect_continue(field) for field in collector.headers)

    def check(self) -> None:
        """Raise the error found in the bytes so far, if any.

        Raises:
            EbonystreamError: The input was invalid; nothing more can be read
                from this connection.
        """
        if self.collector.fault is not None:
            raise self.collector.fault

    def _record_malformed(self, detail: str) -> None:
        if self.collector.fault is None:
            self.collector.fault = EbonystreamError(
                ErrorKind.MALFORMED_REQUEST, detail
            )

    def _check_incomplete_head(self, size: int) -> None:
        """Limit an incomplete head by the bytes fed.

        The parser reports a header field only once it is complete, so the
        collector cannot count one that never ends.
        """
        collector = self.collector
        if not collector.begun or collector.in_body:
            self._head_bytes_fed = 0
            return
        self._head_bytes_fed += size
        limit = collector.limits.head_bytes
        if self._head_bytes_fed > limit + RECEIVE_BYTES:
            raise EbonystreamError(
                ErrorKind.HEAD_TOO_LARGE, f'more than {limit} bytes'
            )


def make_request_reader(limits: ReaderLimits) -> Reader:
    """Make a reader of requests.

    Args:
        limits: Size limits of a request.
    """

    def read_info() -> HeadFacts:
        return HeadFacts(
            method=parser.get_method(),
            status=NO_STATUS,
            keep_alive=parser.should_keep_alive(),
        )

    collector = Collector(limits, read_info)
    parser = httptools.HttpRequestParser(collector)
    return Reader(collector, parser)


def make_response_reader(limits: ReaderLimits) -> Reader:
    """Make a reader of responses.

    Args:
        limits: Size limits of a response.
    """

    def read_info() -> HeadFacts:
        return HeadFacts(
            method=b'',
            status=parser.get_status_code(),
            keep_alive=parser.should_keep_alive(),
        )

    collector = Collector(limits, read_info)
    parser = httptools.HttpResponseParser(collector)
    return Reader(collector, parser)


def _is_expect_continue(field: tuple[bytes, bytes]) -> bool:
    return (field[0], field[1].lower()) == CONTINUE
