"""How warm a backend server is, as all entry hosts come to agree.

Each server has an epoch that begins with every cold start. Entry hosts merge
what they know of a server by its epoch and then by its phase, so that all come
to the same view whatever the order in which they hear of it.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import BootId, Monotonic
from ebonystream.backend._boots import BootHistory, BootNews
from ebonystream.backend._growth import COLD_LIMIT, Growth


class ServerPhase(enum.Enum):
    """How far a backend server may be used."""

    CONFIRMING = 'confirming'
    """As cold, after a lost connection; one answer of the same run ends it."""

    COLD = 'cold'
    """Its sponsor sends it one call at a time."""

    WARMING = 'warming'
    """Its sponsor sends it several calls at a time, as its answers allow."""

    SERVING = 'serving'
    """Every entry host may use it."""

    DRAINING = 'draining'
    """It gets no new work until it is started again."""


PHASE_ORDER: Mapping[ServerPhase, int] = MappingProxyType(
    {phase: order for order, phase in enumerate(ServerPhase)}
)
"""A later phase of one epoch overrules an earlier one."""

STARTING = frozenset(
    (ServerPhase.CONFIRMING, ServerPhase.COLD, ServerPhase.WARMING)
)
"""Phases in which only the sponsor may send calls."""


@attrs.define(kw_only=True)
class Warmth:
    """One backend server's way from cold to serving, and to its end.

    Attributes:
        epoch: Counts the cold starts of the server, over all entry hosts.
        phase: How far the server may be used.
        boots: The runs of the server.
        growth: What it bears while it starts.
        changed_at: When the epoch or the phase changed last.
        let_in: The epoch in which the server was last let in; drains that
            peers saw in an earlier one are over.
    """

    epoch: int = 0
    phase: ServerPhase = ServerPhase.COLD
    boots: BootHistory = attrs.field(factory=BootHistory)
    growth: Growth = attrs.field(factory=Growth)
    changed_at: Monotonic = Monotonic(0)
    let_in: int = 0

    @property
    def is_starting(self) -> bool:
        """Whether only the sponsor may send calls."""
        return self.phase in STARTING

    def chill(self, now: Monotonic) -> None:
        """Begin a cold start, or begin the present one again."""
        if self.phase is ServerPhase.DRAINING:
            return
        if self.phase is ServerPhase.SERVING:
            self.epoch += 1
        self._enter(ServerPhase.COLD, now)

    def doubt(self, now: Monotonic) -> None:
        """Treat the server as cold until an answer shows that it is not."""
        if self.phase is not ServerPhase.SERVING:
            return
        self.epoch += 1
        unnamed = self.boots.current is None
        self._enter(
            ServerPhase.COLD if unnamed else ServerPhase.CONFIRMING, now
        )

    def renew(self, now: Monotonic) -> None:
        """Begin a new epoch: the server was replaced, restarted or let in."""
        self.epoch += 1
        self.let_in = self.epoch
        self._enter(ServerPhase.COLD, now)

    def drain(self, now: Monotonic) -> None:
        """Send no new work until the server is started again."""
        if self.phase is not ServerPhase.DRAINING:
            self._enter(ServerPhase.DRAINING, now)

    def note_boot(self, boot: BootId | None, now: Monotonic) -> bool:
        """Learn which run answered; False for an answer of an earlier run.

        Args:
            boot: The run that answered, if it said.
            now: The present time.
        """
        news = self.boots.note(boot)
        if news is BootNews.RESTARTED:
            self.renew(now)
        return news is not BootNews.EARLIER

    def note_answer(
        self, slots: int, *, began: Monotonic, now: Monotonic
    ) -> None:
        """Let the server bear more after an answer in time.

        Args:
            slots: Calls that the server works on at the same time.
            began: When the call was sent; an answer to a call from before
                the cold start tells nothing of it.
            now: The present time.
        """
        if not self.is_starting or began < self.growth.since:
            return
        grown = self.growth.add_answer(slots, now)
        if grown or self.phase is ServerPhase.CONFIRMING:
            self._enter(ServerPhase.SERVING, now)
        elif self.growth.limit > COLD_LIMIT:
            self.phase = ServerPhase.WARMING

    def note_failure(self, now: Monotonic) -> None:
        """Leave a starting server alone for a while after a failure."""
        if not self.is_starting:
            return
        if self.phase is ServerPhase.WARMING:
            self.phase = ServerPhase.COLD
        self.growth.add_failure(now)

    def merge(
        self,
        epoch: int,
        phase: ServerPhase,
        boot: BootId | None,
        now: Monotonic,
    ) -> None:
        """Take over what a peer knows, where it is newer.

        Args:
            epoch: The epoch that the peer knows of.
            phase: The phase in that epoch.
            boot: The run of the server that the epoch is about, if known.
            now: The present time.
        """
        if self.boots.is_earlier(boot):
            return
        if self.boots.may_be_same(boot) and _is_drain(self, epoch, phase):
            self.epoch = max(epoch, self.epoch)
            self.drain(now)
            return
        known = (self.epoch, PHASE_ORDER[self.phase])
        if (epoch, PHASE_ORDER[phase]) <= known:
            return
        if self.boots.note(boot) is BootNews.RESTARTED:
            self.let_in = epoch
        self.epoch = epoch
        self._enter(phase, now)
        assert (self.epoch, PHASE_ORDER[self.phase]) > known, (
            f'epoch {known[0]} went back to {self.epoch}'
        )

    def _enter(self, phase: ServerPhase, now: Monotonic) -> None:
        self.phase = phase
        self.changed_at = now
        self.growth.restart(now)


def _is_drain(warmth: Warmth, epoch: int, phase: ServerPhase) -> bool:
    # What drains stays so whatever else befalls the same run of it.
    if warmth.phase is ServerPhase.DRAINING:
        return True
    return phase is ServerPhase.DRAINING and epoch >= warmth.let_in
