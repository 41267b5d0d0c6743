"""Requests that were cut off, until it is known whether their server ended."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream.suspects._fingerprint import Fingerprint

KEPT_FOR = Seconds(10)
"""How long a server that cut requests off may stay unheard of; what it cut off
is then forgotten."""


@attrs.frozen
class Cut:
    """A request whose connection ended without an answer.

    Attributes:
        fingerprint: The request.
        at: When the connection ended.
    """

    fingerprint: Fingerprint
    at: Monotonic


@attrs.define
class CutRequests:
    """Requests that were cut off, until their servers are heard of again."""

    _by_server: dict[ServerId, list[Cut]] = attrs.field(factory=dict)

    def add(self, server: ServerId, cut: Cut) -> None:
        """Keep a request that was cut off.

        Args:
            server: Where it ran.
            cut: The request.
        """
        self._forget(Monotonic(cut.at - KEPT_FOR))
        self._by_server.setdefault(server, []).append(cut)

    def take(self, server: ServerId, asked: Monotonic) -> tuple[Cut, ...]:
        """Give and forget those that were cut off before a question.

        Args:
            server: Where they ran.
            asked: When the question was sent.
        """
        cuts = self._by_server.pop(server, [])
        later = [cut for cut in cuts if cut.at >= asked]
        if later:
            self._by_server[server] = later
        return tuple(cut for cut in cuts if cut.at < asked)

    def _forget(self, before: Monotonic) -> None:
        for server, cuts in list(self._by_server.items()):
            if cuts[-1].at < before:
                self._by_server.pop(server)
