"""Stages: how the new version's share of a route grows with its evidence."""

import attrs

GROUPS_PER_STAGE = 20
"""Groups after which a route has all the evidence that a stage asks for."""

LATE_EVIDENCE = 0.05
"""Part of the time to move that a quiet route waits for its evidence."""

COMPARED_PART = 0.5
"""Part of the calls meant for the new version that must have been compared."""

UNCOMPARED_CALLS = 2
"""Calls meant for the new version that may still be on their way."""


@attrs.frozen
class Stage:
    """One step of a move.

    Attributes:
        share: The new version's share of a route's calls.
        begins: The part of the time to move after which it may begin.
    """

    share: float
    begins: float


SHARES = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1)
"""The new version's share of a route's calls in each stage."""

BEGINS = (0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.65, 0.85)
"""The part of the time to move after which each stage may begin."""

STAGES = tuple(map(Stage, SHARES, BEGINS))
"""All stages; the last has all of the traffic."""

LAST_STAGE = len(STAGES) - 1


@attrs.define
class RouteStage:
    """How far one route has come.

    Attributes:
        stage: The index of its stage.
        calls: Calls of the route since the stage began, on this host.
        groups: Groups since the stage began, on all hosts.
    """

    stage: int = 0
    calls: int = 0
    groups: int = 0

    @property
    def share(self) -> float:
        """The new version's share."""
        return STAGES[self.stage].share

    @property
    def is_last(self) -> bool:
        """Whether the route has moved."""
        return self.stage == LAST_STAGE

    def advance(self, elapsed: float) -> None:
        """Go to the next stage where time and evidence allow it.

        Args:
            elapsed: The part of the time to move that is over.
        """
        if not self.is_last and self._is_ready(elapsed):
            self.stage += 1
            self.calls = 0
            self.groups = 0

    def _is_ready(self, elapsed: float) -> bool:
        following = STAGES[self.stage + 1]
        if elapsed < following.begins:
            return False
        if self.groups >= GROUPS_PER_STAGE:
            return True
        if elapsed < following.begins + LATE_EVIDENCE:
            return False
        meant = self.share * self.calls - UNCOMPARED_CALLS
        return self.groups >= COMPARED_PART * meant
