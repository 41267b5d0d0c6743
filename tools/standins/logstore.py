"""The rules of the log service, in memory, without any encoding.

A test can use `LogStore` in its own process on a virtual clock; the daemon in
`standins.logservice` puts HTTP around it.
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
    """What the service does with every request."""

    NONE = 'none'
    REFUSE = 'refuse'
    HANG_UP = 'hang_up'


class ServiceDown(Exception):
    """Raised while an outage is set."""


class RateExceeded(Exception):
    """Raised for an append above the rate; it had no effect."""


class AnswerLost(Exception):
    """Raised for an append that took effect but must not be answered."""


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    Attributes:
        offset: Its place in the stream, from 0.
        at_ms: The log's own time of the append.
        value: One JSON value.
    """

    offset: int
    at_ms: int
    value: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """The answer to a read.

    Attributes:
        first: The oldest record kept.
        next: The offset that the next append gets.
        records: The records read, in order.
    """

    first: int
    next: int
    records: list[Record]


class Conduct(msgspec.Struct, kw_only=True):
    """How the service behaves; each field can be set at any time.

    Attributes:
        outage: What is done with every request.
        delay_ms: How long each answer is held back after its effect.
        lose_answers: How many more appends take effect without an answer.
        retention_ms: How long a record is kept.
        appends_per_second: The rate above which appends are refused.
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
        next_offset: The offset that the next append gets.
        records: The records kept, oldest first.
        appended: Set and replaced at each append.
    """

    next_offset: int = 0
    records: deque[Record] = attrs.field(factory=deque)
    appended: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class LogStore:
    """Every stream of the service and the rules that bind them.

    Attributes:
        clock_ms: Reads the log's own time; it may jump back.
        conduct: How the service behaves now.
        streams: The streams by name.
        last_ms: The time of the newest record of all.
        allowance: How many appends the rate allows at this moment.
        allowance_ms: When the allowance was worked out.
    """

    clock_ms: ClockMs
    conduct: Conduct = attrs.field(factory=Conduct)
    streams: dict[str, Stream] = attrs.field(factory=dict)
    last_ms: int = 0
    allowance: float = DEFAULT_APPENDS_PER_SECOND
    allowance_ms: int = 0

    async def append(self, name: str, value: msgspec.Raw) -> int:
        """Append one value to a stream and tell its offset.

        Args:
            name: The stream; it need not exist yet.
            value: One JSON value.

        Raises:
            ServiceDown: An outage is set; nothing was appended.
            RateExceeded: The rate is used up; nothing was appended.
            AnswerLost: The value was appended, but no answer may be given.
        """
        self._check_outage()
        self._take_allowance()
        offset = self._store(name, value)
        lost = self.conduct.lose_answers > 0
        if lost:
            self.conduct.lose_answers -= 1
        await self._hold_back()
        if lost:
            raise AnswerLost
        return offset

    async def read(
        self,
        name: str,
        start: int,
        *,
        limit: int = DEFAULT_READ_LIMIT,
        wait_ms: float = 0,
    ) -> Page:
        """Read records from an offset on.

        Args:
            name: The stream; it need not exist yet.
            start: The first offset wanted.
            limit: How many records to give at most.
            wait_ms: How long to wait for a record at the end of the stream.

        Raises:
            ServiceDown: An outage is set, or was set while waiting.
        """
        self._check_outage()
        stream = self._stream(name)
        if start >= stream.next_offset:
            with trio.move_on_after(wait_ms / MS_PER_SECOND):
                await self._wait_for(stream, start)
            self._check_outage()
        page = self._page(stream, start, limit)
        await self._hold_back()
        return page

    def behave(self, conduct: Conduct) -> None:
        """Change how the service behaves from now on.

        Args:
            conduct: The whole new behaviour.
        """
        self.conduct = conduct
        for stream in self.streams.values():
            _wake(stream)

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def _check_outage(self) -> None:
        if self.conduct.outage is not Outage.NONE:
            raise ServiceDown

    def _take_allowance(self) -> None:
        now_ms = self._now_ms()
        rate = self.conduct.appends_per_second
        earned = (now_ms - self.allowance_ms) * rate / MS_PER_SECOND
        self.allowance = min(rate, self.allowance + earned)
        self.allowance_ms = now_ms
        if self.allowance < 1:
            raise RateExceeded
        self.allowance -= 1

    def _store(self, name: str, value: msgspec.Raw) -> int:
        stream = self._stream(name)
        offset = stream.next_offset
        at_ms = self._now_ms()
        stream.records.append(Record(offset=offset, at_ms=at_ms, value=value))
        stream.next_offset += 1
        self._expire(stream)
        _wake(stream)
        return offset

    def _now_ms(self) -> int:
        self.last_ms = max(self.last_ms, self.clock_ms())
        return self.last_ms

    def _expire(self, stream: Stream) -> None:
        oldest_ms = self._now_ms() - self.conduct.retention_ms
        while stream.records and stream.records[0].at_ms < oldest_ms:
            stream.records.popleft()

    async def _wait_for(self, stream: Stream, start: int) -> None:
        while start >= stream.next_offset:
            await stream.appended.wait()
            self._check_outage()

    def _page(self, stream: Stream, start: int, limit: int) -> Page:
        self._expire(stream)
        first = stream.next_offset - len(stream.records)
        begin = max(start - first, 0)
        records = list(stream.records)[begin : begin + limit]
        return Page(first=first, next=stream.next_offset, records=records)

    async def _hold_back(self) -> None:
        await trio.sleep(self.conduct.delay_ms / MS_PER_SECOND)


def _wake(stream: Stream) -> None:
    stream.appended.set()
    stream.appended = trio.Event()
