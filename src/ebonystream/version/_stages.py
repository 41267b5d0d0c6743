"""Stages in which the new version's share of a route grows."""

import attrs

GROUPS_PER_STAGE = 20
"""Groups from which on a route has sufficient evidence in a stage."""

EVIDENCE_GRACE_SHARE = 0.05
"""Share of the move's duration that a route with few calls waits for sufficient
evidence."""

MIN_COMPARED_SHARE = 0.5
"""Share of the calls drawn for the new version that must have been compared if
a route has no sufficient evidence after the wait."""

MAX_PENDING_CALLS = 2
"""Calls drawn for the new version that may be in flight, and need not have been
compared."""


@attrs.frozen
class Stage:
    """A stage of a move.

    Attributes:
        traffic_share: The new version's share of a route's calls, from 0 to 1.
        min_elapsed_share: Elapsed share of the move's duration from which on
            the stage may begin.
    """

    traffic_share: float
    min_elapsed_share: float


TRAFFIC_SHARES = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1)
"""The new version's share of a route's calls in each stage."""

MIN_ELAPSED_SHARES = (0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.65, 0.85)
"""Elapsed share of the move's duration from which on each stage may begin."""

STAGES = tuple(map(Stage, TRAFFIC_SHARES, MIN_ELAPSED_SHARES))
"""All stages; in the last one the new version has all calls of the route."""

LAST_STAGE = len(STAGES) - 1


@attrs.define
class RouteStage:
    """The current stage of a route, and the evidence collected in it.

    Attributes:
        index: The index of the stage in `STAGES`.
        calls: Attempts on the route since the stage began, on this host.
        groups: Groups compared since the stage began, on all hosts.
    """

    index: int = 0
    calls: int = 0
    groups: int = 0

    @property
    def traffic_share(self) -> float:
        """The new version's share of the route's calls, from 0 to 1."""
        return STAGES[self.index].traffic_share

    @property
    def is_last(self) -> bool:
        """Whether all traffic of the route has moved."""
        return self.index == LAST_STAGE

    def advance(self, elapsed_share: float) -> None:
        """Advance to the next stage if time and evidence permit it.

        Args:
            elapsed_share: Elapsed share of the move's duration; may exceed 1.
        """
        if not self.is_last and self._may_advance(elapsed_share):
            self.index += 1
            self.calls = 0
            self.groups = 0

    def _may_advance(self, elapsed_share: float) -> bool:
        next_stage = STAGES[self.index + 1]
        if elapsed_share < next_stage.min_elapsed_share:
            return False
        if self.groups >= GROUPS_PER_STAGE:
            return True
        if elapsed_share < next_stage.min_elapsed_share + EVIDENCE_GRACE_SHARE:
            return False
        drawn = self.traffic_share * self.calls - MAX_PENDING_CALLS
        return self.groups >= MIN_COMPARED_SHARE * drawn
