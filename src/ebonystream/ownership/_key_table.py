"""The idempotency keys that the owner has begun, and their outcomes."""

import enum
import heapq

import attrs
import trio

from ebonystream._ids import EpochMs, IdempotencyKey
from ebonystream.call import CallResponse
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ownership._key import get_timestamp

ENTRY_BYTES = 600
"""Upper estimate of the size of an entry without the response body."""


class KeyState(enum.Enum):
    """Progress of the call with a key."""

    RUNNING = 'running'
    DONE = 'done'


@attrs.define
class KeyEntry:
    """A key and the outcome of its call.

    Attributes:
        key: The key.
        digest: Digest of the request that was sent with the key.
        state: Progress of the call.
        response: Response to every request with the key; None until done.
        done: Set when the call is done.
    """

    key: IdempotencyKey
    digest: bytes
    state: KeyState = KeyState.RUNNING
    response: CallResponse | None = None
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class KeyTable:
    """The keys that this incarnation is running or has run.

    A key is evicted only if its timestamp is below the minimum, and no key
    below the minimum may begin. The minimum never decreases, so no key begins
    twice.

    Attributes:
        max_bytes: Limit on the size of all entries, checked when a key begins.
        used_bytes: Current size of all entries.
        min_timestamp: Lowest timestamp of a key that may begin.
        max_begun_timestamp: Highest timestamp of a key that has begun.
        entries: Entries that have not been evicted.
    """

    max_bytes: int
    used_bytes: int = 0
    min_timestamp: EpochMs = EpochMs(0)
    max_begun_timestamp: EpochMs = EpochMs(0)
    entries: dict[IdempotencyKey, KeyEntry] = attrs.field(factory=dict)
    _finished: list[tuple[EpochMs, IdempotencyKey]] = attrs.field(factory=list)

    def find(self, key: IdempotencyKey, digest: bytes) -> KeyEntry | None:
        """Return the entry of a key; None if the key has not begun.

        Args:
            key: The key.
            digest: Digest of the request.

        Raises:
            EbonystreamError: The key was used with another request, or it is
                so old that its entry may have been evicted.
        """
        entry = self.entries.get(key)
        if entry is None:
            if get_timestamp(key) < self.min_timestamp:
                raise EbonystreamError(ErrorKind.KEY_EXPIRED, key)
            return None
        if entry.digest != digest:
            raise EbonystreamError(ErrorKind.KEY_REUSED, key)
        return entry

    def begin(self, key: IdempotencyKey, digest: bytes) -> KeyEntry:
        """Add an entry for a key whose call is about to run.

        Args:
            key: Key that has no entry and may begin, according to `find`.
            digest: Digest of the request.

        Raises:
            EbonystreamError: The entry would exceed the memory limit.
        """
        assert key not in self.entries, f'{key} was begun before'
        assert get_timestamp(key) >= self.min_timestamp, (
            f'{key} may have been forgotten'
        )
        if self.used_bytes + ENTRY_BYTES > self.max_bytes:
            raise EbonystreamError(ErrorKind.MEMORY_FULL)
        entry = KeyEntry(key, digest)
        self.entries[key] = entry
        self.max_begun_timestamp = max(
            self.max_begun_timestamp, get_timestamp(key)
        )
        self.used_bytes += ENTRY_BYTES
        return entry

    def finish(self, entry: KeyEntry, response: CallResponse) -> None:
        """Record the response to all requests with a key.

        Args:
            entry: Entry whose call is running.
            response: Response to record.
        """
        assert entry.state is KeyState.RUNNING, f'{entry.key} ended twice'
        entry.state = KeyState.DONE
        entry.response = response
        self.used_bytes += len(response.body)
        heapq.heappush(self._finished, (get_timestamp(entry.key), entry.key))
        entry.done.set()

    def evict(self, min_timestamp: EpochMs) -> None:
        """Raise the minimum timestamp and evict the finished keys below it.

        Args:
            min_timestamp: New minimum; ignored if lower than the current one.
        """
        self.min_timestamp = EpochMs(max(self.min_timestamp, min_timestamp))
        while self._finished and self._finished[0][0] < self.min_timestamp:
            self._evict(heapq.heappop(self._finished)[1])

    def _evict(self, key: IdempotencyKey) -> None:
        entry = self.entries.pop(key)
        size = ENTRY_BYTES
        if entry.response is not None:
            size += len(entry.response.body)
        self.used_bytes -= size
