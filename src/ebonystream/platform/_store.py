"""Client of the platform's store: a log with keyed topics, over HTTP."""

import struct
from collections.abc import Callable
from urllib.parse import urlencode

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Offset, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import encode_request
from ebonystream.link import Exchange, ExchangeFailure, match_any
from ebonystream.platform._store_messages import (
    READ_HEADER,
    AppendResult,
    GoneOffsets,
    KeyedRecord,
    Listing,
    ListingPage,
    TopicEnd,
    decode_body,
    decode_bounds,
    decode_item,
    encode_record,
)
from ebonystream.platform._store_response import (
    StoreResponse,
    WaitResult,
    decode_era,
)

OPERATOR_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
STATUS_TOPIC = 'keyed.status'
ONLY_PARTITION = 0

CALL_TIMEOUT = Seconds(1.5)
"""Time limit of a call, in addition to the wait requested from the store."""

NO_WAIT = Seconds(0)

OK_STATUS = 200
GONE_STATUS = 410
PRECONDITION_FAILED_STATUS = 412
NOT_FOUND_STATUS = 404
"""A topic may be unknown before its first record; an append at 0 shows it."""

OUTSIDE_STATUSES = frozenset((400, 416))
"""Statuses of a read that may begin after the end of a topic."""

MAX_LAST_READS = 4
"""Reads in search of the last record; other hosts may append meanwhile."""
LAST_READ_KB = 1024

RECORD_LENGTH = struct.Struct('>I')


@attrs.define
class StoreClient:
    """Client of the store.

    Attributes:
        endpoint: The address at which the store listens.
        exchange: Sends requests over persistent connections.
        count_call: Called with the name of each store call.
    """

    endpoint: ServerAddress
    exchange: Exchange
    count_call: Callable[[str], None]

    async def list_newest(self, topic: str) -> Listing:
        """Return the newest record of each key of a topic.

        Its pages are no snapshot: a key of an earlier page may have a newer
        record by the time of a later one. The end is therefore that of the
        first page.

        Args:
            topic: The name of a keyed topic.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if the call fails, or if the
                pages are of different eras of the store.
        """
        response = await self._fetch_page(topic, after=None)
        era = response.era
        page = decode_body(response.body, ListingPage)
        first_end = page.end
        records = [decode_item(item) for item in page.items]
        while page.more and page.items:
            response = await self._fetch_page(topic, page.items[-1].key)
            if response.era != era:
                raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'a new era')
            page = decode_body(response.body, ListingPage)
            records.extend(decode_item(item) for item in page.items)
        return Listing(tuple(records), first_end, era)

    async def wait_for_append(
        self, topic: str, known_end: Offset, *, wait: Seconds
    ) -> WaitResult:
        """Wait for a record at or after an offset.

        Args:
            topic: The name of the topic.
            known_end: The end offset that the caller knows.
            wait: Upper bound on the wait, in seconds.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if the call fails.
        """
        response = await self._read(topic, known_end, max_kb=1, wait=wait)
        if response.status == GONE_STATUS:
            return WaitResult(response.era, None)
        _require_ok(response)
        return WaitResult(response.era, decode_bounds(response.body).end)

    async def append_keyed(
        self,
        topic: str,
        record: KeyedRecord,
        *,
        expected_end: Offset | None = None,
    ) -> Offset | None:
        """Append a record; return its offset, None if the condition fails.

        Args:
            topic: The name of a keyed topic.
            record: The key and its new content.
            expected_end: The end offset that the topic must have; None appends
                unconditionally.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if the call fails; the record
                may have been appended nevertheless.
        """
        return await self._append(topic, encode_record(record), expected_end)

    async def append(
        self, topic: str, content: bytes, *, expected_end: Offset
    ) -> Offset | None:
        """Append a record without a key; None if the topic ends elsewhere.

        Args:
            topic: The name of a topic without keys.
            content: The record.
            expected_end: The end offset that the topic must have.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if the call fails; the record
                may have been appended nevertheless.
        """
        return await self._append(topic, content, expected_end)

    async def read_last(self, topic: str, hint: Offset) -> TopicEnd:
        """Read the last record of a topic without keys.

        Args:
            topic: The name of the topic.
            hint: Where the last record may be.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if a call fails.
        """
        start = hint
        for _ in range(MAX_LAST_READS):
            response = await self._read(
                topic, start, max_kb=LAST_READ_KB, wait=NO_WAIT
            )
            if response.status == GONE_STATUS:
                start = decode_body(response.body, GoneOffsets).first
                continue
            if response.status == NOT_FOUND_STATUS:
                return TopicEnd(Offset(0), b'')
            if response.status in OUTSIDE_STATUSES and start:
                start = Offset(0)
                continue
            _require_ok(response)
            bounds = decode_bounds(response.body)
            if bounds.end <= bounds.first:
                return TopicEnd(bounds.end, b'')
            if bounds.end == start + 1:
                return TopicEnd(bounds.end, response.body[READ_HEADER.size :])
            start = Offset(bounds.end - 1)
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'its end moves')

    async def _append(
        self, topic: str, content: bytes, expected_end: Offset | None
    ) -> Offset | None:
        query: dict[str, str | int] = {'topic': topic, 'part': ONLY_PARTITION}
        if expected_end is not None:
            query['at'] = expected_end
        body = RECORD_LENGTH.pack(len(content)) + content
        response = await self._call('POST', 'log-append', query, body=body)
        if response.status == PRECONDITION_FAILED_STATUS:
            return None
        _require_ok(response)
        return decode_body(response.body, AppendResult).offset

    async def _read(
        self, topic: str, start: Offset, *, max_kb: int, wait: Seconds
    ) -> StoreResponse:
        query: dict[str, str | int] = {
            'topic': topic,
            'part': ONLY_PARTITION,
            'from': start,
            'max_kb': max_kb,
            'wait_ms': int(wait * MS_PER_SECOND),
        }
        return await self._call('GET', 'log-read', query, wait=wait)

    async def _fetch_page(self, topic: str, after: str | None) -> StoreResponse:
        query: dict[str, str | int] = {'topic': topic, 'part': ONLY_PARTITION}
        if after is not None:
            query['after'] = after
        response = await self._call('GET', 'log-newest', query)
        _require_ok(response)
        return response

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str | int],
        *,
        body: bytes = b'',
        wait: Seconds = NO_WAIT,
    ) -> StoreResponse:
        self.count_call(name)
        target = f'/-/{name}?{urlencode(query)}'
        host = f'{self.endpoint.address}:{self.endpoint.port}'
        request = encode_request(
            method.encode(), target.encode(), ((b'host', host.encode()),), body
        )
        with trio.move_on_after(wait + CALL_TIMEOUT):
            result = await self.exchange(self.endpoint, request, match_any)
            if isinstance(result, ExchangeFailure):
                raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, result.value)
            return StoreResponse(
                status=result.status,
                body=result.body,
                era=decode_era(result.headers),
            )
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, f'{name}: no answer')


def _require_ok(response: StoreResponse) -> None:
    if response.status != OK_STATUS:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, f'status {response.status}'
        )
