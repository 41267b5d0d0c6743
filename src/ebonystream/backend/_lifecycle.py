"""Phase of a backend server, agreed on by all entry hosts.

Each cold start of a server begins a new epoch. Entry hosts merge what they
know of a server by its epoch first and its phase second, so that all of them
arrive at the same state in whatever order they receive the updates.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import BootId, Monotonic
from ebonystream.backend._boots import BootChange, BootHistory
from ebonystream.backend._ramp_up import COLD_LIMIT, RampUp


class ServerPhase(enum.Enum):
    """Which calls a backend server may be sent."""

    CONFIRMING = 'confirming'
    """As for COLD, after a connection failure; a response of the same
    incarnation ends the phase."""

    COLD = 'cold'
    """One call at a time, from its sponsor."""

    WARMING = 'warming'
    """Several concurrent calls, from its sponsor; responses raise the limit."""

    SERVING = 'serving'
    """Calls from every entry host."""

    DRAINING = 'draining'
    """No new calls until it restarts."""


PHASE_ORDER: Mapping[ServerPhase, int] = MappingProxyType(
    {phase: order for order, phase in enumerate(ServerPhase)}
)
"""Order of the phases in one epoch; a later one replaces an earlier one."""

STARTING_PHASES = frozenset(
    (ServerPhase.CONFIRMING, ServerPhase.COLD, ServerPhase.WARMING)
)
"""Phases in which only the sponsor may send calls."""


@attrs.define(kw_only=True)
class ServerLifecycle:
    """Lifecycle of one backend server, from cold to serving to draining.

    Attributes:
        epoch: Number of cold starts of the server, over all entry hosts.
        phase: Which calls the server may be sent.
        boots: The incarnations of the server.
        ramp_up: Its concurrency limit while it is starting.
        changed_at: When the epoch or the phase last changed.
        admitted_epoch: The epoch in which the server was last listed anew or
            restarted; draining that peers saw in an earlier epoch is over.
    """

    epoch: int = 0
    phase: ServerPhase = ServerPhase.COLD
    boots: BootHistory = attrs.field(factory=BootHistory)
    ramp_up: RampUp = attrs.field(factory=RampUp)
    changed_at: Monotonic = Monotonic(0)
    admitted_epoch: int = 0

    @property
    def is_starting(self) -> bool:
        """Whether only the sponsor may send calls."""
        return self.phase in STARTING_PHASES

    def mark_cold(self, now: Monotonic) -> None:
        """Begin a cold start, or restart the current one, unless draining."""
        if self.phase is ServerPhase.DRAINING:
            return
        if self.phase is ServerPhase.SERVING:
            self.epoch += 1
        self._enter(ServerPhase.COLD, now)

    def mark_unconfirmed(self, now: Monotonic) -> None:
        """Treat a serving server as cold until the next response.

        Without a known boot id, a response cannot show that the incarnation is
        the same, so that a full cold start begins.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        if self.phase is not ServerPhase.SERVING:
            return
        self.epoch += 1
        is_boot_unknown = self.boots.current is None
        self._enter(
            ServerPhase.COLD if is_boot_unknown else ServerPhase.CONFIRMING, now
        )

    def begin_epoch(self, now: Monotonic) -> None:
        """Begin a new epoch, as the server is new, restarted or listed again.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        self.epoch += 1
        self.admitted_epoch = self.epoch
        self._enter(ServerPhase.COLD, now)

    def drain(self, now: Monotonic) -> None:
        """Send no new calls until the server restarts."""
        if self.phase is not ServerPhase.DRAINING:
            self._enter(ServerPhase.DRAINING, now)

    def record_boot(self, boot: BootId | None, now: Monotonic) -> bool:
        """Record a boot id; return False if its incarnation has ended.

        Args:
            boot: Boot id of the incarnation that responded, if reported.
            now: Current time of the monotonic clock, in seconds.
        """
        change = self.boots.record(boot)
        if change is BootChange.RESTARTED:
            self.begin_epoch(now)
        return change is not BootChange.EARLIER

    def record_response(
        self, slots: int, *, sent_at: Monotonic, now: Monotonic
    ) -> None:
        """Record a response, which may raise the limit or end the start.

        Args:
            slots: Number of calls that the server processes concurrently.
            sent_at: When the call was sent; a call from before the cold start
                is ignored.
            now: Current time of the monotonic clock, in seconds.
        """
        if not self.is_starting or sent_at < self.ramp_up.reset_at:
            return
        is_warm = self.ramp_up.record_response(slots, now)
        if is_warm or self.phase is ServerPhase.CONFIRMING:
            self._enter(ServerPhase.SERVING, now)
        elif self.ramp_up.limit > COLD_LIMIT:
            self.phase = ServerPhase.WARMING

    def record_failure(self, now: Monotonic) -> None:
        """Record a failure, after which a starting server gets no calls.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        if not self.is_starting:
            return
        if self.phase is ServerPhase.WARMING:
            self.phase = ServerPhase.COLD
        self.ramp_up.record_failure(now)

    def merge(
        self,
        epoch: int,
        phase: ServerPhase,
        boot: BootId | None,
        now: Monotonic,
    ) -> None:
        """Update the state from that of a peer, if the peer's is newer.

        Args:
            epoch: The epoch known to the peer.
            phase: The phase in that epoch.
            boot: Boot id of the incarnation that the epoch refers to, if known.
            now: Current time of the monotonic clock, in seconds.
        """
        if self.boots.is_earlier(boot):
            return
        if self.boots.may_be_current(boot) and _is_drain(self, epoch, phase):
            self.epoch = max(epoch, self.epoch)
            self.drain(now)
            return
        known = (self.epoch, PHASE_ORDER[self.phase])
        if (epoch, PHASE_ORDER[phase]) <= known:
            return
        if self.boots.record(boot) is BootChange.RESTARTED:
            self.admitted_epoch = epoch
        self.epoch = epoch
        self._enter(phase, now)
        assert (self.epoch, PHASE_ORDER[self.phase]) > known, (
            f'epoch {known[0]} went back to {self.epoch}'
        )

    def _enter(self, phase: ServerPhase, now: Monotonic) -> None:
        self.phase = phase
        self.changed_at = now
        self.ramp_up.reset(now)


def _is_drain(
    lifecycle: ServerLifecycle, epoch: int, phase: ServerPhase
) -> bool:
    # A draining server stays so until its incarnation ends.
    if lifecycle.phase is ServerPhase.DRAINING:
        return True
    return phase is ServerPhase.DRAINING and epoch >= lifecycle.admitted_epoch
