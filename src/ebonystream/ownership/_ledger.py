"""The owner's memory: what became of each key that it runs."""

import enum
import heapq

import attrs
import trio

from ebonystream._ids import EpochMs, IdempotencyKey
from ebonystream.call import Answer
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ownership._key import read_label

ENTRY_BYTES = 600
"""What an entry takes beside its answer, in bytes, generously."""


class EntryState(enum.Enum):
    """How far a key has come."""

    RUNNING = 'running'
    DONE = 'done'


@attrs.define
class Entry:
    """One key and what became of its call.

    Attributes:
        key: The key.
        digest: Which request came under it.
        state: How far it has come.
        answer: What every sender of the key gets, once it is done.
        done: Set when it is done.
    """

    key: IdempotencyKey
    digest: bytes
    state: EntryState = EntryState.RUNNING
    answer: Answer | None = None
    done: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class Ledger:
    """The keys that this incarnation runs or has run.

    A key is forgotten only when its label lies below the floor, and below
    the floor no key is begun; the floor never falls. So no key is begun twice.

    Attributes:
        max_bytes: The most that the entries may take together.
        used_bytes: What they take now.
        floor: The lowest label that may be begun.
        ceiling: The highest label that was begun.
        entries: Each remembered key.
    """

    max_bytes: int
    used_bytes: int = 0
    floor: EpochMs = EpochMs(0)
    ceiling: EpochMs = EpochMs(0)
    entries: dict[IdempotencyKey, Entry] = attrs.field(factory=dict)
    _finished: list[tuple[EpochMs, IdempotencyKey]] = attrs.field(factory=list)

    def find(self, key: IdempotencyKey, digest: bytes) -> Entry | None:
        """Give the entry of a key that came before.

        Args:
            key: The key.
            digest: Which request comes under it now.

        Raises:
            EbonystreamError: The key came before with another request, or
                it is too old to be remembered for certain.
        """
        entry = self.entries.get(key)
        if entry is None:
            if read_label(key) < self.floor:
                raise EbonystreamError(ErrorKind.KEY_EXPIRED, key)
            return None
        if entry.digest != digest:
            raise EbonystreamError(ErrorKind.KEY_REUSED, key)
        return entry

    def begin(self, key: IdempotencyKey, digest: bytes) -> Entry:
        """Begin a key that never came before.

        Args:
            key: A key for which `find` gave None just now.
            digest: Which request comes under it.

        Raises:
            EbonystreamError: There is no room to remember one more.
        """
        assert key not in self.entries, f'{key} was begun before'
        assert read_label(key) >= self.floor, f'{key} may have been forgotten'
        if self.used_bytes + ENTRY_BYTES > self.max_bytes:
            raise EbonystreamError(ErrorKind.MEMORY_FULL)
        entry = Entry(key, digest)
        self.entries[key] = entry
        self.ceiling = max(self.ceiling, read_label(key))
        self.used_bytes += ENTRY_BYTES
        return entry

    def finish(self, entry: Entry, answer: Answer) -> None:
        """Set what every sender of a key gets from now on.

        Args:
            entry: An entry that is running.
            answer: The answer.
        """
        assert entry.state is EntryState.RUNNING, f'{entry.key} ended twice'
        entry.state = EntryState.DONE
        entry.answer = answer
        self.used_bytes += len(answer.body)
        heapq.heappush(self._finished, (read_label(entry.key), entry.key))
        entry.done.set()

    def forget(self, floor: EpochMs) -> None:
        """Raise the floor and drop finished keys below it.

        Args:
            floor: The new floor; a lower one than now changes nothing.
        """
        self.floor = EpochMs(max(self.floor, floor))
        while self._finished and self._finished[0][0] < self.floor:
            self._drop(heapq.heappop(self._finished)[1])

    def _drop(self, key: IdempotencyKey) -> None:
        entry = self.entries.pop(key)
        size = ENTRY_BYTES
        if entry.answer is not None:
            size += len(entry.answer.body)
        self.used_bytes -= size
