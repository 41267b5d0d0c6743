"""What entry hosts tell one another of crashes."""

from collections.abc import Iterable, Iterator
from random import Random

import attrs
import msgspec

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._fingerprint import Fingerprint
from ebonystream.suspects._table import CRASH_AGE, SuspectTable

RECENT = Seconds(2)
"""How long a change is told in each heartbeat."""

MAX_NOTES = 64
"""Notes that one heartbeat carries at most."""


class SuspectNote(msgspec.Struct, array_like=True, frozen=True):
    """What one host holds of one request, or of a crash that never was.

    Attributes:
        server: The server that ended.
        run: The run of it that ended.
        age_s: How long ago that was, in seconds.
        fingerprint: The request; None where the crash is void.
        suspicion: What is held of the request.
    """

    server: ServerId
    run: str
    age_s: int
    fingerprint: Fingerprint | None = None
    suspicion: Suspicion = Suspicion.FIRST


_decoder = msgspec.json.Decoder(SuspectNote)


@attrs.define
class SuspectExchange:
    """Tells peers of crashes and learns from them.

    Attributes:
        suspects: The crashes that are known.
        timers: Tells the time.
        random: Chooses who is told of unchanged.
        dropped: Notes from peers that made no sense.
    """

    suspects: SuspectTable
    timers: Timers
    random: Random
    dropped: int = 0

    def list_notes(self) -> tuple[str, ...]:
        """Give what the next heartbeat tells."""
        self.suspects.forget_aged()
        now = self.timers.now()
        crashes = list(self.suspects.crashes.values())
        recent = [one for one in crashes if now - one.changed_at < RECENT]
        told = {one.id: one for one in (*recent, *self._choose(crashes))}
        notes = [note for one in told.values() for note in _tell(one, now)]
        return tuple(
            msgspec.json.encode(note).decode() for note in notes[:MAX_NOTES]
        )

    def take_notes(self, notes: Iterable[str]) -> None:
        """Learn what a peer's heartbeat told.

        Args:
            notes: What the heartbeat told; what is malformed is dropped.
        """
        for sent in notes:
            try:
                note = _decoder.decode(sent)
            except msgspec.MsgspecError:
                self.dropped += 1
                continue
            self._take(note)

    def _take(self, note: SuspectNote) -> None:
        if not 0 <= note.age_s <= CRASH_AGE:
            self.dropped += 1
            return
        now = self.timers.now()
        crash = self.suspects.take(
            CrashId(note.server, note.run), Monotonic(now - note.age_s)
        )
        if note.fingerprint is None:
            crash.void(now)
        else:
            self.suspects.suspect(crash, note.fingerprint, note.suspicion)

    def _choose(self, crashes: list[Crash]) -> list[Crash]:
        return [self.random.choice(crashes)] if crashes else []


def _tell(crash: Crash, now: Monotonic) -> Iterator[SuspectNote]:
    age_s = max(0, int(now - crash.at))
    if crash.is_void:
        yield SuspectNote(crash.id.server, crash.id.run, age_s)
        return
    for fingerprint, suspicion in crash.suspicions.items():
        yield SuspectNote(
            crash.id.server, crash.id.run, age_s, fingerprint, suspicion
        )
