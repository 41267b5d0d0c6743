"""Log lines about the proof that the orders of this host are the newest."""

import enum

import attrs

from ebonystream._ids import BootTime, Seconds
from ebonystream.entryhost._lease import get_orders_bound
from ebonystream.entryhost._parts import HostParts
from ebonystream.gossip import HostFacts

CHECK_PERIOD = Seconds(0.25)
"""Period of checking the age of the proof, in seconds."""

MIN_REPORT_INTERVAL = Seconds(10)
"""Minimum time between two reports of orders that are not proven, in seconds.
A proof that is renewed late again and again would fill the log."""


class ProofState(enum.Enum):
    """Whether the orders are proven to be the newest; the name of its event."""

    PROVEN = 'orders_proven'
    UNPROVEN = 'orders_unproven'


@attrs.frozen
class ProofChange:
    """A change of the state of the proof.

    Attributes:
        state: The new state.
        age: Age of the proof, in seconds; None if there never was one.
        unproven_for: For how long the age was above its bound, in seconds; None
            if it still is.
    """

    state: ProofState
    age: Seconds | None
    unproven_for: Seconds | None = None


@attrs.define
class ProofWatch:
    """Finds the times at which the proof becomes too old or current again.

    Attributes:
        started_at: Start of the watch, from which a proof is expected.
        bound: Age up to which a proof counts as current, in seconds.
        unproven_since: When the age passed its bound; None while it is within
            it, or above it and not reported.
        reported_at: Time of the latest report that the orders are not proven;
            None before the first.
    """

    started_at: BootTime
    bound: Seconds
    unproven_since: BootTime | None = None
    reported_at: BootTime | None = None

    def update(self, age: Seconds | None, now: BootTime) -> ProofChange | None:
        """Update the state; return the change to report, if there is one.

        Args:
            age: Age of the proof, in seconds; None if there never was one.
            now: The current time.
        """
        expected_at = self.started_at if age is None else BootTime(now - age)
        overdue_at = BootTime(expected_at + self.bound)
        if now > overdue_at:
            return self._begin(age, overdue_at, now)
        return self._end(age, now)

    def _begin(
        self, age: Seconds | None, overdue_at: BootTime, now: BootTime
    ) -> ProofChange | None:
        if self.unproven_since is not None or self._was_reported_lately(now):
            return None
        self.unproven_since = overdue_at
        self.reported_at = now
        return ProofChange(ProofState.UNPROVEN, age)

    def _end(self, age: Seconds | None, now: BootTime) -> ProofChange | None:
        if self.unproven_since is None:
            return None
        unproven_for = Seconds(now - self.unproven_since)
        self.unproven_since = None
        return ProofChange(ProofState.PROVEN, age, unproven_for)

    def _was_reported_lately(self, now: BootTime) -> bool:
        if self.reported_at is None:
            return False
        return now - self.reported_at < MIN_REPORT_INTERVAL


async def watch_orders(parts: HostParts) -> None:
    """Log when the orders stop being proven, and are again; never return.

    Args:
        parts: The state of the host.
    """
    watch = ProofWatch(parts.timers.boot_now(), get_orders_bound(parts))
    async for _ in parts.timers.subscribe(period=CHECK_PERIOD):
        now = parts.timers.boot_now()
        change = watch.update(parts.orders.freshness.get_age(now), now)
        if change is not None:
            _log_change(parts, change)


def find_newest_peer(parts: HostParts) -> HostFacts | None:
    """Return the facts of the peer with the newest orders; None without peers.

    Only peers that are alive count.

    Args:
        parts: The state of the host.
    """
    peers = (
        facts
        for facts in parts.facts.list_alive(parts.timers.now())
        if facts.host != parts.settings.name
    )
    return max(peers, key=HostFacts.get_orders_position, default=None)


def _log_change(parts: HostParts, change: ProofChange) -> None:
    peer = find_newest_peer(parts)
    ended = {}
    if change.unproven_for is not None:
        ended['unproven_s'] = round(change.unproven_for, 3)
    parts.log_event(
        change.state.value,
        age_s=None if change.age is None else round(change.age, 3),
        end=parts.orders.end,
        heard_end=peer.orders_end if peer else None,
        heard_from=peer.host if peer else None,
        **ended,
    )
