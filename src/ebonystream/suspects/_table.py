"""The crashes that this host remembers, and who is refused by them."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._fingerprint import Fingerprint

MAX_CRASHES = 512
"""Crashes that are remembered; the oldest give way."""

MAX_SUSPECTS = 32
"""Requests that are remembered for each crash."""

CRASH_AGE = Seconds(60 * 60)
"""How long a crash is remembered."""

MASS_CRASHES = 3
"""Ends of servers without a request, beside one with it, that excuse it."""

MASS_WINDOW = Seconds(2)
"""How near in time those must be."""


@attrs.define
class SuspectTable:
    """What is known of crashes, by this host and by its peers.

    Attributes:
        timers: Tells the time.
        crashes: Each crash that is remembered, the oldest first.
    """

    timers: Timers
    crashes: dict[CrashId, Crash] = attrs.field(factory=dict)

    def take(self, crash_id: CrashId, at: Monotonic) -> Crash:
        """Give a crash, remembered from now on.

        Args:
            crash_id: Names it.
            at: When it happened, as far as is known here.
        """
        crash = self.crashes.get(crash_id)
        if crash is None:
            crash = Crash(id=crash_id, at=at, changed_at=self.timers.now())
            self.crashes[crash_id] = crash
            self._forget_oldest()
        crash.at = min(crash.at, at)
        return crash

    def suspect(
        self,
        crash: Crash,
        fingerprint: Fingerprint,
        suspicion: Suspicion = Suspicion.FIRST,
    ) -> None:
        """Hold a crash against a request, or clear it.

        Args:
            crash: The crash.
            fingerprint: The request.
            suspicion: What is held of it.
        """
        full = len(crash.suspicions) >= MAX_SUSPECTS
        if not full or fingerprint in crash.suspicions:
            crash.suspect(fingerprint, suspicion, self.timers.now())

    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a request that was answered.

        Args:
            fingerprint: The request.
        """
        now = self.timers.now()
        for crash in self._list_against(fingerprint):
            crash.suspect(fingerprint, Suspicion.CLEARED, now)

    def is_suspected(
        self, fingerprint: Fingerprint, *, beside: Crash | None = None
    ) -> bool:
        """Tell whether a request may have ended a server.

        Args:
            fingerprint: The request.
            beside: A crash that doesn't count.
        """
        against = self._list_against(fingerprint)
        return any(crash is not beside for crash in against)

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request has ended two servers.

        It has where it was run again as a suspect, its server ended again,
        and no other request was in flight at each of its crashes.

        Args:
            fingerprint: The request.
        """
        against = self._list_against(fingerprint)
        if not any(self._is_proof(crash, fingerprint) for crash in against):
            return False
        return _find_common(against) == {fingerprint}

    def forget_aged(self) -> None:
        """Forget crashes that are too old."""
        oldest = self.timers.now() - CRASH_AGE
        for crash in list(self.crashes.values()):
            if crash.at < oldest:
                self.crashes.pop(crash.id)

    def _is_proof(self, crash: Crash, fingerprint: Fingerprint) -> bool:
        if crash.suspicions[fingerprint] is not Suspicion.AGAIN:
            return False
        beside = sum(
            abs(other.at - crash.at) < MASS_WINDOW
            for other in self.crashes.values()
            if not other.is_void and fingerprint not in other.suspicions
        )
        return beside < MASS_CRASHES

    def _list_against(self, fingerprint: Fingerprint) -> list[Crash]:
        return [
            crash
            for crash in self.crashes.values()
            if fingerprint in crash.list_suspects()
        ]

    def _forget_oldest(self) -> None:
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.pop(next(iter(self.crashes)))


def _find_common(crashes: Iterable[Crash]) -> set[Fingerprint]:
    sets = [set(crash.list_suspects()) for crash in crashes]
    return set.intersection(*sets)
