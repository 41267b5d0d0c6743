"""A small stand-in for the users' platform's store: keyed topics over HTTP.

It speaks what `ebonystream.platform` asks of it, and can be told to be down.
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
HEAD = struct.Struct('>QQ')
LENGTH_BYTES = 4


class StoreMood(enum.Enum):
    """How the store answers."""

    WELL = 'well'
    BUSY = 'busy'
    SILENT = 'silent'


@attrs.define
class Topic:
    """One keyed topic.

    Attributes:
        newest: The newest content of each key, and its offset.
        end: The offset that the next record gets.
        changed: Set when a record is added.
    """

    newest: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    end: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class PlatformStore:
    """The store.

    Attributes:
        topics: All topics, by name.
        mood: How it answers.
        calls: How often each call was made.
    """

    topics: dict[str, Topic] = attrs.field(factory=dict)
    mood: StoreMood = StoreMood.WELL
    calls: dict[str, int] = attrs.field(factory=dict)

    def put(self, topic: str, key: str, content: object) -> None:
        """Write the newest record of a key; None takes the key away.

        Args:
            topic: The topic.
            key: The key.
            content: What JSON spells from now on.
        """
        encoded = None if content is None else json.dumps(content).encode()
        self._write(topic, key, encoded)

    def read(self, topic: str, key: str) -> object:
        """Read the newest record of a key; None where there is none.

        Args:
            topic: The topic.
            key: The key.
        """
        kept = self._get(topic).newest.get(key)
        return None if kept is None else json.loads(kept[0])

    async def respond(
        self, message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        """Answer one call.

        Args:
            message: The call.
            arrived: When it came.
            presence: Who made it.
        """
        if self.mood is StoreMood.SILENT:
            await trio.sleep_forever()
        if self.mood is StoreMood.BUSY:
            return _spell(UNAVAILABLE, b'')
        path, _, query = message.target.decode().partition('?')
        asked = dict(parse_qsl(query))
        name = path.rpartition('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if name == 'log-newest':
            return self._list_newest(asked)
        if name == 'log-read':
            return await self._wait(asked)
        if name == 'log-append':
            return self._append(asked, message.body)
        return _spell(NOT_FOUND, b'')

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection.

        Args:
            stream: The connection.
        """
        await serve_messages(stream, self.respond)

    def _get(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def _write(self, name: str, key: str, content: bytes | None) -> int:
        topic = self._get(name)
        if content is None:
            topic.newest.pop(key, None)
        else:
            topic.newest[key] = (content, topic.end)
        topic.end += 1
        topic.changed.set()
        topic.changed = trio.Event()
        return topic.end - 1

    def _list_newest(self, asked: Mapping[str, str]) -> EncodedResponse:
        topic = self._get(asked['topic'])
        items = [
            {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'offset': offset,
            }
            for key, (content, offset) in sorted(topic.newest.items())
        ]
        page = {'items': items, 'more': False, 'end': topic.end}
        return _spell(OK, json.dumps(page).encode())

    async def _wait(self, asked: Mapping[str, str]) -> EncodedResponse:
        topic = self._get(asked['topic'])
        if topic.end <= int(asked['from']):
            with trio.move_on_after(int(asked['wait_ms']) / 1000):
                await topic.changed.wait()
        return _spell(OK, HEAD.pack(topic.end, 0))

    def _append(self, asked: Mapping[str, str], body: bytes) -> EncodedResponse:
        topic = self._get(asked['topic'])
        if 'at' in asked and int(asked['at']) != topic.end:
            end = json.dumps({'end': topic.end}).encode()
            return _spell(CONDITION_FAILED, end)
        record = body[LENGTH_BYTES:]
        key_end = 1 + record[0]
        key = record[1:key_end].decode()
        offset = self._write(asked['topic'], key, record[key_end:])
        answer = {'offset': offset, 'end': topic.end}
        return _spell(OK, json.dumps(answer).encode())


def _spell(status: int, body: bytes) -> EncodedResponse:
    return EncodedResponse(encode_response(status, (), body), close=False)
