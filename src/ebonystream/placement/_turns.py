"""Turns of workspaces whose requests wait for capacity."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from ebonystream._ids import Monotonic, WorkspaceName

Waiting = TypeVar('Waiting')


@attrs.frozen
class Urgency:
    """What decides the order of a waiting request.

    Attributes:
        is_late: Whether the request will be late on any server.
        rank: Urgency of its workspace or route; 0 is the most urgent.
        target: Time until which a response meets the objective.
        workspace: Workspace of the request; None without one.
    """

    is_late: bool
    rank: int
    target: Monotonic
    workspace: WorkspaceName | None


@attrs.frozen
class _Flow:
    rank: int
    workspace: WorkspaceName | None


@attrs.define
class Turns:
    """Fair queueing among the workspaces of one rank, for one service.

    The load that this addresses is that of one workspace that sends many more
    requests than there is capacity for, with others of the same rank beside
    it. This is start-time fair queueing, with equal weights and one unit for
    each request: a request is tagged with the number of turns of its workspace
    before it, and the lowest tag is served first. Within a workspace, and
    among equal tags, the order is that of the target times.

    Attributes:
        next_starts: Start tag of the next request of each workspace that was
            served.
        virtual_times: Start tag of the last request served, by rank. A
            workspace without waiting requests starts from it, so that it
            collects no claims while it is idle.
    """

    next_starts: dict[_Flow, int] = attrs.field(factory=dict)
    virtual_times: dict[int, int] = attrs.field(factory=dict)

    def sort(
        self,
        waiting: Iterable[Waiting],
        get_urgency: Callable[[Waiting], Urgency],
    ) -> list[Waiting]:
        """Sort waiting requests, the next one to be served first.

        Args:
            waiting: The requests.
            get_urgency: Returns the urgency of a request.
        """
        described = [(get_urgency(request), request) for request in waiting]
        described.sort(key=lambda pair: _get_order(pair[0]))
        turns: Counter[tuple[bool, _Flow]] = Counter()
        tagged: list[tuple[int, Urgency, Waiting]] = []
        for urgency, each in described:
            flow = _Flow(urgency.rank, urgency.workspace)
            start = self._get_start(flow) + turns[urgency.is_late, flow]
            turns[urgency.is_late, flow] += 1
            tagged.append((start, urgency, each))
        tagged.sort(
            key=lambda entry: (entry[1].is_late, entry[1].rank, entry[0])
        )
        return [request for _, _, request in tagged]

    def record_served(self, urgency: Urgency) -> None:
        """Record that a waiting request was served.

        Args:
            urgency: Urgency of the request.
        """
        flow = _Flow(urgency.rank, urgency.workspace)
        start = self._get_start(flow)
        self.virtual_times[urgency.rank] = start
        self.next_starts[flow] = start + 1

    def _get_start(self, flow: _Flow) -> int:
        virtual_time = self.virtual_times.get(flow.rank, 0)
        return max(virtual_time, self.next_starts.get(flow, 0))


def _get_order(urgency: Urgency) -> tuple[bool, int, float]:
    return urgency.is_late, urgency.rank, urgency.target
