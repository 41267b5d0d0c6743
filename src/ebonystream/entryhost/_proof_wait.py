"""Wait of requests for a proof of the orders, after this host stood still."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._lease import is_proven
from ebonystream.entryhost._parts import HostParts

MAX_WAIT = Seconds(0.3)
"""Maximum wait for a proof, in seconds; a read of the store takes less."""

MIN_INTERVAL = Seconds(10)
"""Minimum time between the starts of two waits, in seconds. In an outage of the
store requests wait once."""

CHECK_PERIOD = Seconds(0.01)

WaitForProof = Callable[[], Awaitable[None]]
"""Waits before a request is routed; returns at once in normal operation."""


@attrs.define
class ProofWait:
    """Time within which requests wait for a proof.

    Attributes:
        started_at: Start of the latest wait; None before the first.
    """

    started_at: Monotonic | None = None

    def must_wait(self, now: Monotonic, *, is_proven: bool) -> bool:
        """Return whether a request waits now.

        Args:
            now: The current time.
            is_proven: Whether the orders are proven to be the newest.
        """
        if is_proven:
            return False
        if self.started_at is None or now - self.started_at >= MIN_INTERVAL:
            self.started_at = now
        return now - self.started_at < MAX_WAIT


def make_proof_wait(parts: HostParts) -> WaitForProof:
    """Make the wait of requests for a proof of the orders.

    A host that stood still would else route by orders that were replaced
    meanwhile the requests that came in that time.

    Args:
        parts: The state of the host.
    """
    wait = ProofWait()

    async def wait_for_proof() -> None:
        while wait.must_wait(parts.timers.now(), is_proven=is_proven(parts)):
            await parts.timers.wait(CHECK_PERIOD)

    return wait_for_proof


async def return_at_once() -> None:
    """Wait for nothing."""
