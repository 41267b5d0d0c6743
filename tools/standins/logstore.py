"""The rules of the log service, in memory and independent of HTTP.

Tests use `LogStore` in their own process with a virtual clock; the daemon
`standins.logservice` serves it over HTTP.
"""

import enum
from collections import deque
from collections.abc import Callable

import attrs
import msgspec
import trio

MS_PER_SECOND = 1000
DEFAULT_RETENTION_MS = 3_600_000
DEFAULT_APPENDS_PER_SECOND = 300
DEFAULT_READ_LIMIT = 1000

ClockMs = Callable[[], int]


class Outage(enum.Enum):
    """How the service fails every request."""

    NONE = 'none'
    REFUSE = 'refuse'
    HANG_UP = 'hang_up'


class ServiceDown(Exception):
    """Raised for every request during an outage."""


class RateExceeded(Exception):
    """Raised for an append above the rate limit; nothing was appended."""


class ResponseLost(Exception):
    """Raised for an append that took effect but whose response is lost."""


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0.
        at_ms: Time of the append by the clock of the log, in milliseconds.
        value: One JSON value.
    """

    offset: int
    at_ms: int
    value: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """Response to a read.

    Attributes:
        first: Offset of the oldest retained record.
        next: Offset of the next append.
        records: The requested records, in order.
    """

    first: int
    next: int
    records: list[Record]


class LogStoreSettings(msgspec.Struct, kw_only=True):
    """Settings and faults of the service; each can change at any time.

    Attributes:
        outage: How every request fails, if at all.
        delay_ms: Delay of each response after the request took effect.
        lose_answers: Number of further appends whose record is stored but
            whose response is lost.
        retention_ms: How long a record is retained.
        appends_per_second: Rate limit; appends above it are rejected.
    """

    outage: Outage = Outage.NONE
    delay_ms: float = 0
    lose_answers: int = 0
    retention_ms: int = DEFAULT_RETENTION_MS
    appends_per_second: float = DEFAULT_APPENDS_PER_SECOND


@attrs.define
class Stream:
    """One append-only stream.

    Attributes:
        next_offset: Offset of the next append.
        records: The retained records, oldest first.
        appended: Set and replaced by each append, and when the settings change.
    """

    next_offset: int = 0
    records: deque[Record] = attrs.field(factory=deque)
    appended: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class LogStore:
    """All streams of the service, with its clock and its rate limit.

    Attributes:
        clock_ms: Returns the time of the log, in milliseconds; it may go back.
        settings: Current settings and faults.
        streams: The streams by name.
        last_ms: Latest time read from the clock.
        tokens: Number of appends that the rate limit permits now.
        refilled_ms: When `tokens` was last updated.
    """

    clock_ms: ClockMs
    settings: LogStoreSettings = attrs.field(factory=LogStoreSettings)
    streams: dict[str, Stream] = attrs.field(factory=dict)
    last_ms: int = 0
    tokens: float = DEFAULT_APPENDS_PER_SECOND
    refilled_ms: int = 0

    async def append(self, name: str, value: msgspec.Raw) -> int:
        """Append one value to a stream and return its offset.

        Args:
            name: Name of the stream; it is created if it does not exist.
            value: One JSON value.

        Raises:
            ServiceDown: The service is down; nothing was appended.
            RateExceeded: The rate limit is reached; nothing was appended.
            ResponseLost: The value was appended, but the response is lost.
        """
        self._check_outage()
        self._consume_token()
        offset = self._append_record(name, value)
        is_lost = self.settings.lose_answers > 0
        if is_lost:
            self.settings.lose_answers -= 1
        await self._delay_response()
        if is_lost:
            raise ResponseLost
        return offset

    async def read(
        self,
        name: str,
        start: int,
        *,
        limit: int = DEFAULT_READ_LIMIT,
        wait_ms: float = 0,
    ) -> Page:
        """Return the retained records from an offset on.

        Args:
            name: Name of the stream; it is created if it does not exist.
            start: First offset to return.
            limit: Maximum number of records.
            wait_ms: How long to wait for a record at the end of the stream.

        Raises:
            ServiceDown: The service is down, or went down while waiting.
        """
        self._check_outage()
        stream = self._get_stream(name)
        if start >= stream.next_offset:
            with trio.move_on_after(wait_ms / MS_PER_SECOND):
                await self._wait_for_append(stream, start)
            self._check_outage()
        page = self._make_page(stream, start, limit)
        await self._delay_response()
        return page

    def apply_settings(self, settings: LogStoreSettings) -> None:
        """Replace all settings; waiting reads check for an outage.

        Args:
            settings: The new settings and faults.
        """
        self.settings = settings
        for stream in self.streams.values():
            _notify_readers(stream)

    def _get_stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def _check_outage(self) -> None:
        if self.settings.outage is not Outage.NONE:
            raise ServiceDown

    def _consume_token(self) -> None:
        now_ms = self._now_ms()
        rate = self.settings.appends_per_second
        refill = (now_ms - self.refilled_ms) * rate / MS_PER_SECOND
        self.tokens = min(rate, self.tokens + refill)
        self.refilled_ms = now_ms
        if self.tokens < 1:
            raise RateExceeded
        self.tokens -= 1

    def _append_record(self, name: str, value: msgspec.Raw) -> int:
        stream = self._get_stream(name)
        offset = stream.next_offset
        at_ms = self._now_ms()
        stream.records.append(Record(offset=offset, at_ms=at_ms, value=value))
        stream.next_offset += 1
        self._evict_expired(stream)
        _notify_readers(stream)
        return offset

    def _now_ms(self) -> int:
        self.last_ms = max(self.last_ms, self.clock_ms())
        return self.last_ms

    def _evict_expired(self, stream: Stream) -> None:
        oldest_ms = self._now_ms() - self.settings.retention_ms
        while stream.records and stream.records[0].at_ms < oldest_ms:
            stream.records.popleft()

    async def _wait_for_append(self, stream: Stream, start: int) -> None:
        while start >= stream.next_offset:
            await stream.appended.wait()
            self._check_outage()

    def _make_page(self, stream: Stream, start: int, limit: int) -> Page:
        self._evict_expired(stream)
        first = stream.next_offset - len(stream.records)
        index = max(start - first, 0)
        records = list(stream.records)[index : index + limit]
        return Page(first=first, next=stream.next_offset, records=records)

    async def _delay_response(self) -> None:
        await trio.sleep(self.settings.delay_ms / MS_PER_SECOND)


def _notify_readers(stream: Stream) -> None:
    stream.appended.set()
    stream.appended = trio.Event()
