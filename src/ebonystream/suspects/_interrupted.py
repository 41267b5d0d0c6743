"""Interrupted requests, until it is known whether their server crashed."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream.suspects._fingerprint import Fingerprint

RETENTION = Seconds(10)
"""How long interrupted requests are kept while their server sends nothing."""


@attrs.frozen
class InterruptedRequest:
    """Request whose connection ended without a response.

    Attributes:
        fingerprint: The request that was interrupted.
        sent_at: When it was sent.
        interrupted_at: When the connection ended.
    """

    fingerprint: Fingerprint
    sent_at: Monotonic
    interrupted_at: Monotonic


@attrs.define
class InterruptedRequests:
    """Interrupted requests, by server, until the next probe of the server."""

    _by_server: dict[ServerId, list[InterruptedRequest]] = attrs.field(
        factory=dict
    )

    def add(self, server: ServerId, request: InterruptedRequest) -> None:
        """Add an interrupted request and evict expired ones.

        Args:
            server: The server that it was sent to.
            request: The interrupted request.
        """
        self._evict_expired(Monotonic(request.interrupted_at - RETENTION))
        self._by_server.setdefault(server, []).append(request)

    def pop_before(
        self, server: ServerId, probed_at: Monotonic
    ) -> tuple[InterruptedRequest, ...]:
        """Remove and return the requests interrupted before a probe was sent.

        Args:
            server: The server that they were sent to.
            probed_at: When the probe was sent.
        """
        requests = self._by_server.pop(server, [])
        later = [
            request
            for request in requests
            if request.interrupted_at >= probed_at
        ]
        if later:
            self._by_server[server] = later
        return tuple(
            request
            for request in requests
            if request.interrupted_at < probed_at
        )

    def _evict_expired(self, before: Monotonic) -> None:
        for server, requests in list(self._by_server.items()):
            if requests[-1].interrupted_at < before:
                self._by_server.pop(server)
