"""A small stand-in for the store of the users' platform: topics over HTTP.

It serves the calls that `ebonystream.platform` makes. It can simulate outages,
and returns from an older copy of its topics.
"""

import base64
import enum
import json
import struct
from collections.abc import Mapping
from urllib.parse import parse_qsl

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import CallerPresence, EncodedResponse
from standins.messages import serve_messages

OK, UNAVAILABLE, CONDITION_FAILED, NOT_FOUND = 200, 503, 412, 404
GONE = 410
"""Status of a read from an offset that the topic does not have."""

PAGE_HEADER = struct.Struct('>QQ')
KEYED_PREFIX = 'keyed.'
"""Start of the names of topics whose records have keys."""

RECORD_LENGTH_BYTES = 4
"""Size of the length field in front of an appended record."""

ERA_FIELD = b'Store-Era'
FIRST_ERA = 1

StoreCopy = Mapping[str, int]
"""The end of each topic at one moment."""


class StoreMode(enum.Enum):
    """How the store responds."""

    AVAILABLE = 'well'
    UNAVAILABLE = 'busy'
    UNRESPONSIVE = 'silent'


@attrs.frozen
class KeyedWrite:
    """One record of a keyed topic.

    Attributes:
        key: The key.
        content: Its new content; None if the key was removed.
    """

    key: str
    content: bytes | None


@attrs.define
class Topic:
    """One topic.

    Attributes:
        newest: Latest content of each key, with its offset.
        writes: All records of a keyed topic.
        records: All records of a topic without keys.
        end: Offset of the next record.
        changed: Set and replaced when records are added or lost.
    """

    newest: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    writes: list[KeyedWrite] = attrs.field(factory=list)
    records: list[bytes] = attrs.field(factory=list)
    end: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)

    def write(self, record: KeyedWrite) -> int:
        """Append a record of a key, and return its offset.

        Args:
            record: The record.
        """
        if record.content is None:
            self.newest.pop(record.key, None)
        else:
            self.newest[record.key] = (record.content, self.end)
        self.writes.append(record)
        self.end += 1
        self.notify()
        return self.end - 1

    def truncate(self, end: int) -> None:
        """Lose the records from an offset on.

        Args:
            end: Offset of the first record that is lost.
        """
        kept = self.writes[:end]
        self.newest = {}
        self.writes = []
        self.end = 0
        for record in kept:
            self.write(record)
        self.records = self.records[:end]
        self.end = end
        self.notify()

    def notify(self) -> None:
        """Let the reads that wait look at the topic again."""
        self.changed.set()
        self.changed = trio.Event()


@attrs.define
class PlatformStore:
    """All topics of the store.

    Attributes:
        topics: The topics by name.
        mode: How the store responds.
        calls: Number of calls by name.
        era: Number of returns from an older copy, plus `FIRST_ERA`.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    mode: StoreMode = StoreMode.AVAILABLE
    calls: dict[str, int] = attrs.field(factory=dict)
    era: int = FIRST_ERA

    def put(self, topic: str, key: str, content: object) -> None:
        """Append a record of a key; None removes the key.

        Args:
            topic: Name of the topic.
            key: The key.
            content: New content, which is encoded as JSON.
        """
        encoded = None if content is None else json.dumps(content).encode()
        self._get_topic(topic).write(KeyedWrite(key, encoded))

    def read(self, topic: str, key: str) -> object:
        """Return the decoded content of a key; None if it has no record.

        Args:
            topic: Name of the topic.
            key: The key.
        """
        newest = self._get_topic(topic).newest.get(key)
        return None if newest is None else json.loads(newest[0])

    def make_copy(self) -> StoreCopy:
        """Make a copy of all topics, from which the store may return."""
        return {name: topic.end for name, topic in self.topics.items()}

    def restore(self, copy: StoreCopy) -> None:
        """Return from an older copy; later records of its topics are lost.

        Args:
            copy: The copy. Topics that began after it lose all records.
        """
        self.era += 1
        for name, topic in self.topics.items():
            topic.truncate(min(topic.end, copy.get(name, 0)))

    def restore_without(self, topic: str, count: int) -> None:
        """Return from a copy that lacks the last records of one topic.

        Args:
            topic: Name of the topic.
            count: Number of the records that are lost.
        """
        copy = self.make_copy()
        self.restore({**copy, topic: max(0, copy.get(topic, 0) - count)})

    async def respond(
        self, message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        """Respond to one call.

        Args:
            message: Request of the call.
            arrived: Time of its arrival.
            presence: Presence of the caller.
        """
        if self.mode is StoreMode.UNRESPONSIVE:
            await trio.sleep_forever()
        if self.mode is StoreMode.UNAVAILABLE:
            return self._make_response(UNAVAILABLE, b'')
        path, _, query_string = message.target.decode().partition('?')
        query = dict(parse_qsl(query_string))
        name = path.rpartition('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if name == 'log-newest':
            return self._list_newest(query)
        if name == 'log-read':
            return await self._wait_for_records(query)
        if name == 'log-append':
            return self._append(query, message.body)
        return self._make_response(NOT_FOUND, b'')

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection.

        Args:
            stream: The connection.
        """
        await serve_messages(stream, self.respond)

    def _get_topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _list_newest(self, query: Mapping[str, str]) -> EncodedResponse:
        topic = self._get_topic(query['topic'])
        items = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (content, offset) in sorted(topic.newest.items())
        ]
        page = {'items': items, 'more': False, 'end': topic.end}
        return self._make_response(OK, json.dumps(page).encode())

    async def _wait_for_records(
        self, query: Mapping[str, str]
    ) -> EncodedResponse:
        topic, start = self._get_topic(query['topic']), int(query['from'])
        if topic.end == start:
            with trio.move_on_after(int(query['wait_ms']) / 1000):
                await topic.changed.wait()
        if start > topic.end:
            gone = json.dumps({'first': 0, 'end': topic.end}).encode()
            return self._make_response(GONE, gone)
        header = PAGE_HEADER.pack(topic.end, 0)
        frames = (
            len(record).to_bytes(RECORD_LENGTH_BYTES, 'big') + record
            for record in topic.records[start:]
        )
        return self._make_response(OK, header + b''.join(frames))

    def _append(self, query: Mapping[str, str], body: bytes) -> EncodedResponse:
        topic = self._get_topic(query['topic'])
        if 'at' in query and int(query['at']) != topic.end:
            end = json.dumps({'end': topic.end}).encode()
            return self._make_response(CONDITION_FAILED, end)
        record = body[RECORD_LENGTH_BYTES:]
        if not query['topic'].startswith(KEYED_PREFIX):
            topic.records.append(record)
            topic.end += 1
            result = {'offset': topic.end - 1, 'end': topic.end}
            return self._make_response(OK, json.dumps(result).encode())
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        offset = topic.write(KeyedWrite(key, record[key_end:]))
        result = {'offset': offset, 'end': topic.end}
        return self._make_response(OK, json.dumps(result).encode())

    def _make_response(self, status: int, body: bytes) -> EncodedResponse:
        era = ((ERA_FIELD, str(self.era).encode()),)
        return EncodedResponse(encode_response(status, era, body), close=False)
