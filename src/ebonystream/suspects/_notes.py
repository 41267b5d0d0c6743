"""Notes on suspects that entry hosts exchange in heartbeats."""

from collections.abc import Iterable, Iterator
from random import Random

import attrs
import msgspec

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream._validation import UNDECODABLE
from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._fingerprint import Fingerprint
from ebonystream.suspects._table import CRASH_RETENTION, SuspectTable

RECENT_CHANGE_WINDOW = Seconds(2)
"""How long a changed crash is included in each heartbeat."""

MAX_NOTES_PER_HEARTBEAT = 64
"""Upper bound on the notes in one heartbeat."""


class SuspectNote(msgspec.Struct, array_like=True, frozen=True):
    """State of one suspected request, or the retraction of a crash.

    Attributes:
        server: The server that crashed.
        incarnation: Its incarnation that ended.
        age_s: Time since the crash, in seconds.
        fingerprint: The request; None if the crash is retracted.
        suspicion: The state of the request.
    """

    server: ServerId
    incarnation: str
    age_s: int
    fingerprint: Fingerprint | None = None
    suspicion: Suspicion = Suspicion.SUSPECTED


_decoder = msgspec.json.Decoder(SuspectNote)


@attrs.define
class SuspectExchange:
    """Encodes notes on suspects for peers and applies the notes of peers.

    Attributes:
        suspects: The known crashes.
        timers: Source of the current time.
        random: Selects one crash for each heartbeat, to send even if it has
            not changed.
        dropped: Number of malformed notes received from peers.
    """

    suspects: SuspectTable
    timers: Timers
    random: Random
    dropped: int = 0

    def encode_notes(self) -> tuple[str, ...]:
        """Encode the notes for the next heartbeat.

        They cover the recently changed crashes and one crash at random.
        """
        self.suspects.evict_expired()
        now = self.timers.now()
        crashes = list(self.suspects.crashes.values())
        recent = [
            crash
            for crash in crashes
            if now - crash.changed_at < RECENT_CHANGE_WINDOW
        ]
        selected = {
            crash.id: crash for crash in (*recent, *self._sample(crashes))
        }
        notes = [
            note
            for crash in selected.values()
            for note in _make_notes(crash, now)
        ]
        return tuple(
            msgspec.json.encode(note).decode()
            for note in notes[:MAX_NOTES_PER_HEARTBEAT]
        )

    def update_from_notes(self, notes: Iterable[str]) -> None:
        """Update the known crashes from the notes of a peer's heartbeat.

        Args:
            notes: The encoded notes; malformed ones are dropped.
        """
        for encoded in notes:
            try:
                note = _decoder.decode(encoded)
            except UNDECODABLE:
                self.dropped += 1
                continue
            self._apply(note)

    def _apply(self, note: SuspectNote) -> None:
        if not 0 <= note.age_s <= CRASH_RETENTION:
            self.dropped += 1
            return
        now = self.timers.now()
        crash = self.suspects.get_or_add(
            CrashId(note.server, note.incarnation), Monotonic(now - note.age_s)
        )
        if note.fingerprint is None:
            crash.retract(now)
        else:
            self.suspects.record_suspicion(
                crash, note.fingerprint, note.suspicion
            )

    def _sample(self, crashes: list[Crash]) -> list[Crash]:
        return [self.random.choice(crashes)] if crashes else []


def _make_notes(crash: Crash, now: Monotonic) -> Iterator[SuspectNote]:
    age_s = max(0, int(now - crash.crashed_at))
    if crash.is_retracted:
        yield SuspectNote(crash.id.server, crash.id.incarnation, age_s)
        return
    for fingerprint, suspicion in crash.suspicions.items():
        yield SuspectNote(
            crash.id.server, crash.id.incarnation, age_s, fingerprint, suspicion
        )
