"""One end of a backend server, and the requests that were in flight there."""

import enum
from collections.abc import Iterator

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.suspects._fingerprint import Fingerprint


class Suspicion(enum.Enum):
    """What is held of one request that was in flight when a server ended."""

    FIRST = 'first'
    """It was in flight, and nothing was held against it before."""

    AGAIN = 'again'
    """It was run again alone, as a suspect, and its server ended again."""

    CLEARED = 'cleared'
    """It was answered since: it does not end servers."""


@attrs.frozen
class CrashId:
    """Names one end of a server, the same on each entry host.

    Attributes:
        server: The server that ended.
        run: The run of it that ended: its boot id, or else its epoch.
    """

    server: ServerId
    run: str


@attrs.define(kw_only=True)
class Crash:
    """One end of a backend server.

    Attributes:
        id: Names it.
        at: When it happened, as far as this host knows.
        changed_at: When this host learned of it or more about it.
        is_void: Whether the same run answered since: the server never ended.
        suspicions: What is held of each request that was in flight.
    """

    id: CrashId
    at: Monotonic
    changed_at: Monotonic
    is_void: bool = False
    suspicions: dict[Fingerprint, Suspicion] = attrs.field(factory=dict)

    def list_suspects(self) -> Iterator[Fingerprint]:
        """Give each request that may have ended the server."""
        if self.is_void:
            return
        for fingerprint, suspicion in self.suspicions.items():
            if suspicion is not Suspicion.CLEARED:
                yield fingerprint

    def suspect(
        self, fingerprint: Fingerprint, suspicion: Suspicion, now: Monotonic
    ) -> None:
        """Hold more against a request, or clear it; never less.

        Args:
            fingerprint: The request.
            suspicion: What is held of it.
            now: The present time.
        """
        known = self.suspicions.get(fingerprint)
        if known is None or _is_more(suspicion, known):
            self.suspicions[fingerprint] = suspicion
            self.changed_at = now

    def void(self, now: Monotonic) -> None:
        """Take the crash back, as the same run has answered since."""
        if not self.is_void:
            self.is_void = True
            self.changed_at = now


def _is_more(new: Suspicion, known: Suspicion) -> bool:
    order = list(Suspicion)
    return order.index(new) > order.index(known)
