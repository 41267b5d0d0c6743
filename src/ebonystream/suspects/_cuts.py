"""Interrupted requests, until it is known whether their server crashed."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream.suspects._fingerprint import Fingerprint

KEPT_FOR = Seconds(10)
"""How long interrupted requests are kept while their server sends nothing."""


@attrs.frozen
class Cut:
    """Request whose connection ended without a response.

    Attributes:
        fingerprint: The request that was interrupted.
        at: When the connection ended.
    """

    fingerprint: Fingerprint
    at: Monotonic


@attrs.define
class CutRequests:
    """Interrupted requests, by server, until the next probe of the server."""

    _by_server: dict[ServerId, list[Cut]] = attrs.field(factory=dict)

    def add(self, server: ServerId, cut: Cut) -> None:
        """Add an interrupted request and evict expired ones.

        Args:
            server: The server that it was sent to.
            cut: The interrupted request.
        """
        self._evict_expired(Monotonic(cut.at - KEPT_FOR))
        self._by_server.setdefault(server, []).append(cut)

    def take(self, server: ServerId, asked: Monotonic) -> tuple[Cut, ...]:
        """Remove and return the requests interrupted before a probe was sent.

        Args:
            server: The server that they were sent to.
            asked: When the probe was sent.
        """
        cuts = self._by_server.pop(server, [])
        later = [cut for cut in cuts if cut.at >= asked]
        if later:
            self._by_server[server] = later
        return tuple(cut for cut in cuts if cut.at < asked)

    def _evict_expired(self, before: Monotonic) -> None:
        for server, cuts in list(self._by_server.items()):
            if cuts[-1].at < before:
                self._by_server.pop(server)
