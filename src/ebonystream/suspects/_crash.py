"""A crash of a backend server and the requests in flight on it."""

import enum
from collections.abc import Iterator

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.suspects._fingerprint import Fingerprint


class Suspicion(enum.Enum):
    """State of a request that was in flight when a server crashed.

    The members are in ascending order: a later one replaces an earlier one.
    """

    SUSPECTED = 'first'
    """In flight during the crash, and not suspected before."""

    REPEATED = 'again'
    """Retried while already suspected, and its server crashed again."""

    CLEARED = 'cleared'
    """Answered since the crash, so it does not crash servers."""


@attrs.frozen
class CrashId:
    """Identifier of a crash, the same on each entry host.

    Attributes:
        server: The server that crashed.
        incarnation: Its incarnation that ended: the boot id, or else the epoch.
    """

    server: ServerId
    incarnation: str


@attrs.define(kw_only=True)
class Crash:
    """Crash of a backend server.

    Attributes:
        id: The identifier that entry hosts share.
        crashed_at: The earliest time of the crash that this host knows of.
        changed_at: When this host last recorded a change of the crash.
        is_retracted: Whether the same incarnation answered later, so that it
            never crashed.
        suspicions: The state of each request that was in flight.
        sendings: When this host sent those that it had in flight.
    """

    id: CrashId
    crashed_at: Monotonic
    changed_at: Monotonic
    is_retracted: bool = False
    suspicions: dict[Fingerprint, Suspicion] = attrs.field(factory=dict)
    sendings: dict[Fingerprint, Monotonic] = attrs.field(factory=dict)

    def iter_suspects(self) -> Iterator[Fingerprint]:
        """Yield each request that may have caused the crash."""
        if self.is_retracted:
            return
        for fingerprint, suspicion in self.suspicions.items():
            if suspicion is not Suspicion.CLEARED:
                yield fingerprint

    def update_suspicion(
        self, fingerprint: Fingerprint, suspicion: Suspicion, now: Monotonic
    ) -> None:
        """Update the suspicion of a request; never return to an earlier state.

        Args:
            fingerprint: The request that was in flight.
            suspicion: The new state; ignored unless it follows the known one.
            now: Current time of the monotonic clock, in seconds.
        """
        known = self.suspicions.get(fingerprint)
        if known is None or _supersedes(suspicion, known):
            self.suspicions[fingerprint] = suspicion
            self.changed_at = now

    def describe_suspicion(self, fingerprint: Fingerprint) -> str:
        """Describe the state of a request for the log.

        Args:
            fingerprint: The request.
        """
        suspicion = self.suspicions.get(fingerprint)
        return suspicion.value if suspicion else 'not kept'

    def record_sending(
        self, fingerprint: Fingerprint, sent_at: Monotonic
    ) -> None:
        """Record when this host sent a request that was in flight.

        The last sending counts where there were several.

        Args:
            fingerprint: The request; ignored unless it is suspected.
            sent_at: When it was sent.
        """
        if fingerprint in self.suspicions:
            known = self.sendings.get(fingerprint, sent_at)
            self.sendings[fingerprint] = max(known, sent_at)

    def was_sent_after(self, crash: 'Crash', fingerprint: Fingerprint) -> bool:
        """Return whether this host sent a request after another crash.

        Args:
            crash: The other crash.
            fingerprint: The request.
        """
        sent_at = self.sendings.get(fingerprint)
        return sent_at is not None and sent_at > crash.crashed_at

    def retract(self, now: Monotonic) -> None:
        """Retract the crash, as the same incarnation has answered since.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        if not self.is_retracted:
            self.is_retracted = True
            self.changed_at = now


def _supersedes(new: Suspicion, known: Suspicion) -> bool:
    order = list(Suspicion)
    return order.index(new) > order.index(known)
