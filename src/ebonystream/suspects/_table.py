"""Known crashes, and the requests that are refused because of them."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._fingerprint import Fingerprint

MAX_CRASHES = 512
"""Upper bound on the crashes kept; the one added first is evicted."""

MAX_SUSPECTS_PER_CRASH = 32
"""Upper bound on the requests kept for each crash."""

CRASH_RETENTION = Seconds(60 * 60)
"""How long a crash is kept."""

MASS_FAILURE_CRASHES = 3
"""Number of crashes without a request, at about the time of a crash with it,
from which the latter proves nothing: servers then fail for another reason."""

MASS_FAILURE_WINDOW = Seconds(2)
"""Largest time between two crashes of one mass failure, in seconds."""


@attrs.define
class SuspectTable:
    """Crashes known to this host, from its own calls and from its peers.

    Attributes:
        timers: Source of the current time.
        crashes: The crashes by identifier, in the order in which they were
            added.
    """

    timers: Timers
    crashes: dict[CrashId, Crash] = attrs.field(factory=dict)

    def get_or_add(self, crash_id: CrashId, crashed_at: Monotonic) -> Crash:
        """Return the crash with an identifier, adding it if it is unknown.

        Args:
            crash_id: Identifier of the crash.
            crashed_at: Time of the crash; the earliest one given is kept.
        """
        crash = self.crashes.get(crash_id)
        if crash is None:
            crash = Crash(
                id=crash_id, crashed_at=crashed_at, changed_at=self.timers.now()
            )
            self.crashes[crash_id] = crash
            self._evict_oldest()
        crash.crashed_at = min(crash.crashed_at, crashed_at)
        return crash

    def record_suspicion(
        self,
        crash: Crash,
        fingerprint: Fingerprint,
        suspicion: Suspicion = Suspicion.SUSPECTED,
    ) -> None:
        """Record the suspicion of a request.

        A new suspect is ignored once the crash has the maximum number.

        Args:
            crash: The crash that the request was in flight during.
            fingerprint: The request.
            suspicion: The state to record.
        """
        full = len(crash.suspicions) >= MAX_SUSPECTS_PER_CRASH
        if not full or fingerprint in crash.suspicions:
            crash.update_suspicion(fingerprint, suspicion, self.timers.now())

    def record_interruption(
        self, crash: Crash, fingerprint: Fingerprint, sent_at: Monotonic
    ) -> None:
        """Record that a crash interrupted a request of this host.

        The suspicion is repeated only if the request was sent after another
        crash had interrupted it: crashes of servers that ran it at the same
        time are one event, and no evidence against it. The crashes may be
        recorded in any order.

        Args:
            crash: The crash that interrupted the request.
            fingerprint: The request.
            sent_at: When it was sent to the server that crashed.
        """
        earlier, later = False, []
        for other in self._list_suspecting(fingerprint):
            if other is crash:
                continue
            earlier = earlier or other.crashed_at < sent_at
            if other.was_sent_after(crash, fingerprint):
                later.append(other)
        suspicion = Suspicion.REPEATED if earlier else Suspicion.SUSPECTED
        self.record_suspicion(crash, fingerprint, suspicion)
        crash.record_sending(fingerprint, sent_at)
        for other in later:
            self.record_suspicion(other, fingerprint, Suspicion.REPEATED)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a request of all crashes.

        Args:
            fingerprint: The request, which was answered.
        """
        now = self.timers.now()
        for crash in self._list_suspecting(fingerprint):
            crash.update_suspicion(fingerprint, Suspicion.CLEARED, now)

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request may have crashed a server.

        Args:
            fingerprint: The request.
        """
        return bool(self._list_suspecting(fingerprint))

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request has crashed two servers.

        This holds if it was retried as a suspect, its server crashed again
        outside of a mass failure, and no other suspect was in flight during
        all of its crashes.

        Args:
            fingerprint: The request.
        """
        crashes = self._list_suspecting(fingerprint)
        if not any(self._is_proof(crash, fingerprint) for crash in crashes):
            return False
        return _intersect_suspects(crashes) == {fingerprint}

    def evict_expired(self) -> None:
        """Evict the crashes that are past the retention period."""
        oldest = self.timers.now() - CRASH_RETENTION
        for crash in list(self.crashes.values()):
            if crash.crashed_at < oldest:
                self.crashes.pop(crash.id)

    def _is_proof(self, crash: Crash, fingerprint: Fingerprint) -> bool:
        if crash.suspicions[fingerprint] is not Suspicion.REPEATED:
            return False
        unrelated = sum(
            abs(other.crashed_at - crash.crashed_at) < MASS_FAILURE_WINDOW
            for other in self.crashes.values()
            if not other.is_retracted and fingerprint not in other.suspicions
        )
        return unrelated < MASS_FAILURE_CRASHES

    def _list_suspecting(self, fingerprint: Fingerprint) -> list[Crash]:
        return [
            crash
            for crash in self.crashes.values()
            if fingerprint in crash.iter_suspects()
        ]

    def _evict_oldest(self) -> None:
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.pop(next(iter(self.crashes)))


def _intersect_suspects(crashes: Iterable[Crash]) -> set[Fingerprint]:
    suspects = [set(crash.iter_suspects()) for crash in crashes]
    return set.intersection(*suspects)
