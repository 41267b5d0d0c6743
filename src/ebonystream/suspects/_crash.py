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
    """

    id: CrashId
    crashed_at: Monotonic
    changed_at: Monotonic
    is_retracted: bool = False
    suspicions: dict[Fingerprint, Suspicion] = attrs.field(factory=dict)

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
