"""What one run comes to."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import numpy as np

from experiment.world import WINDOW, Outcome, World

WORST_WINDOWS = 2


def sum_up(world: World) -> dict[str, Any]:
    """Sum up a run.

    Args:
        world: The run.

    Returns:
        Shares of the worth that was earned, in all, by route and in the two
        worst windows of two seconds; latencies in ms; and what was counted.
    """
    windows = defaultdict(list)
    routes = defaultdict(list)
    for outcome in world.outcomes:
        windows[int(outcome.came // WINDOW)].append(outcome)
        routes[outcome.demand.route.name].append(outcome)
    worst = sorted(map(_weigh, windows.values()))[:WORST_WINDOWS]
    answered = [one.took for one in world.outcomes if one.took is not None]
    return {
        'worth': round(_weigh(world.outcomes), 3),
        'worst': round(float(np.mean(worst)), 3),
        'served': round(len(answered) / max(1, len(world.outcomes)), 3),
        'p99_ms': round(float(np.percentile(answered, 99)) * 1000),
        'routes': {
            name: round(_weigh(some), 3) for name, some in routes.items()
        },
        'turned_away': sum(
            server.turned_away for server in world.servers.values()
        ),
        **world.counts,
    }


def _weigh(outcomes: Iterable[Outcome]) -> float:
    """Give the share of the worth that some callers earned."""
    all_outcomes = tuple(outcomes)
    owed = sum(one.demand.worth for one in all_outcomes)
    earned = sum(one.demand.worth * one.get_credit() for one in all_outcomes)
    return earned / owed if owed else 1
