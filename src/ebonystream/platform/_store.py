"""The client of the platform's store: a log with keyed topics, over HTTP."""

import base64
import struct
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec
import trio

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Offset, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import Message, encode_request
from ebonystream.link import Exchange, ExchangeFailure

Shape = TypeVar('Shape')

OPERATOR_TOPIC = 'keyed.op'
SERVERS_TOPIC = 'keyed.servers'
STATUS_TOPIC = 'keyed.status'
ONLY_PARTITION = 0

CALL_TIMEOUT = Seconds(1.5)
"""How long one call may take, beside what it asks the store to wait."""

NO_WAIT = Seconds(0)

OK_STATUS = 200
GONE_STATUS = 410
PRECONDITION_FAILED_STATUS = 412

RECORD_LENGTH = struct.Struct('>I')
KEY_LENGTH = struct.Struct('>B')
READ_HEADER = struct.Struct('>QQ')
"""The end of a partition, and the first offset that it retains."""


@attrs.frozen
class KeyedRecord:
    """The newest record of one key.

    Attributes:
        key: The key.
        content: What stands there.
        offset: The place of the record in its topic; None before the append.
    """

    key: str
    content: bytes
    offset: Offset | None = None


@attrs.frozen
class Listing:
    """The newest records of a keyed topic.

    Attributes:
        records: One for each key.
        end: The offset that the topic's next record gets.
    """

    records: tuple[KeyedRecord, ...]
    end: Offset


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: Offset


class _Newest(msgspec.Struct):
    items: tuple[_Item, ...]
    more: bool
    end: Offset


class _Appended(msgspec.Struct):
    offset: Offset


@attrs.define
class StoreClient:
    """Calls to the store.

    Attributes:
        endpoint: Where the store listens.
        exchange: Exchanges on kept connections.
        count_call: Is told of each call, by its name.
    """

    endpoint: ServerAddress
    exchange: Exchange
    count_call: Callable[[str], None]

    async def list_newest(self, topic: str) -> Listing:
        """List the newest record of each key of a topic.

        Args:
            topic: A keyed topic.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`: the store doesn't answer.
        """
        records: list[KeyedRecord] = []
        after: str | None = None
        while True:
            page = await self._read_page(topic, after)
            records.extend(_decode_item(one) for one in page.items)
            if not (page.more and page.items):
                return Listing(tuple(records), page.end)
            after = page.items[-1].key

    async def wait_for_append(
        self, topic: str, start: Offset, *, wait: Seconds
    ) -> Offset:
        """Wait until a topic reaches beyond an offset, and tell its end.

        Args:
            topic: The topic.
            start: The end that is known.
            wait: How long to wait at most, in seconds.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`: the store doesn't answer.
        """
        query: dict[str, str | int] = {
            'topic': topic,
            'part': ONLY_PARTITION,
            'from': start,
            'max_kb': 1,
            'wait_ms': int(wait * MS_PER_SECOND),
        }
        answer = await self._ask('GET', 'log-read', query, wait=wait)
        if answer.status == GONE_STATUS:
            return Offset(start + 1)
        _expect_ok(answer)
        if len(answer.body) < READ_HEADER.size:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'short read')
        end, _ = READ_HEADER.unpack_from(answer.body)
        return Offset(end)

    async def append_keyed(
        self,
        topic: str,
        record: KeyedRecord,
        *,
        expected_end: Offset | None = None,
    ) -> Offset | None:
        """Append the newest record of a key; None where the condition fails.

        Args:
            topic: A keyed topic.
            record: The key and what stands there from now on.
            expected_end: The end that the topic must have, if any.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`: no answer; the record may
                be there all the same.
        """
        query: dict[str, str | int] = {'topic': topic, 'part': ONLY_PARTITION}
        if expected_end is not None:
            query['at'] = expected_end
        body = _encode_keyed(record)
        answer = await self._ask('POST', 'log-append', query, body=body)
        if answer.status == PRECONDITION_FAILED_STATUS:
            return None
        _expect_ok(answer)
        return _decode(answer.body, _Appended).offset

    async def _read_page(self, topic: str, after: str | None) -> _Newest:
        query: dict[str, str | int] = {'topic': topic, 'part': ONLY_PARTITION}
        if after is not None:
            query['after'] = after
        answer = await self._ask('GET', 'log-newest', query)
        _expect_ok(answer)
        return _decode(answer.body, _Newest)

    async def _ask(
        self,
        method: str,
        call: str,
        query: dict[str, str | int],
        *,
        body: bytes = b'',
        wait: Seconds = NO_WAIT,
    ) -> Message:
        self.count_call(call)
        target = f'/-/{call}?{urlencode(query)}'
        host = f'{self.endpoint.address}:{self.endpoint.port}'
        request = encode_request(
            method.encode(), target.encode(), ((b'host', host.encode()),), body
        )
        with trio.move_on_after(wait + CALL_TIMEOUT):
            reply = await self.exchange(self.endpoint, request, _is_any)
            if isinstance(reply, ExchangeFailure):
                raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, reply.value)
            return reply
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, f'{call}: no answer')


def _is_any(headers: Headers) -> bool:
    """Take each answer: a connection that lost one carries no more."""
    return True


def _expect_ok(answer: Message) -> None:
    if answer.status != OK_STATUS:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, f'status {answer.status}'
        )


def _decode(body: bytes, shape: type[Shape]) -> Shape:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, str(error)) from error


def _decode_item(sent: _Item) -> KeyedRecord:
    return KeyedRecord(sent.key, base64.b64decode(sent.value), sent.offset)


def _encode_keyed(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = KEY_LENGTH.pack(len(key)) + key + record.content
    return RECORD_LENGTH.pack(len(content)) + content
