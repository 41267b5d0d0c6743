"""Summarizes the results of a simulation run."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import numpy as np

from experiment.world import WINDOW_LENGTH, Outcome, World

WORST_WINDOWS = 2


def summarize(world: World) -> dict[str, Any]:
    """Summarize a simulation run.

    Args:
        world: Final state of the run.

    Returns:
        The earned shares of the worth in total, by route and as the mean of
        the two worst windows of two seconds; the share of calls served; the
        99th percentile of latency, in ms; and the counters.
    """
    outcomes_by_window = defaultdict(list)
    outcomes_by_route = defaultdict(list)
    for outcome in world.outcomes:
        outcomes_by_window[int(outcome.arrived_at // WINDOW_LENGTH)].append(
            outcome
        )
        outcomes_by_route[outcome.demand.route.name].append(outcome)
    worst_shares = sorted(map(_get_earned_share, outcomes_by_window.values()))[
        :WORST_WINDOWS
    ]
    latencies = [
        call.latency for call in world.outcomes if call.latency is not None
    ]
    return {
        'worth': round(_get_earned_share(world.outcomes), 3),
        'worst': round(float(np.mean(worst_shares)), 3),
        'served': round(len(latencies) / max(1, len(world.outcomes)), 3),
        'p99_ms': round(float(np.percentile(latencies, 99)) * 1000),
        'routes': {
            name: round(_get_earned_share(outcomes), 3)
            for name, outcomes in outcomes_by_route.items()
        },
        'turned_away': sum(
            server.turned_away for server in world.servers.values()
        ),
        **world.counts,
    }


def _get_earned_share(outcomes: Iterable[Outcome]) -> float:
    """Return the earned share of the total worth of some calls."""
    all_outcomes = tuple(outcomes)
    total_worth = sum(outcome.demand.worth for outcome in all_outcomes)
    earned_worth = sum(
        outcome.demand.worth * outcome.get_earned_share()
        for outcome in all_outcomes
    )
    return earned_worth / total_worth if total_worth else 1
