"""Plots the worst time windows of an experiment, by load and policy."""

from pathlib import Path

import matplotlib as mpl
import numpy as np
from matplotlib import pyplot

BAR_WIDTH = 0.16


def draw_plot(
    rows: dict[tuple[str, str], dict[str, float]], path: Path
) -> None:
    """Draw the share of the worth earned in the worst time windows.

    Args:
        rows: Figures by load and policy.
        path: The SVG file to write.
    """
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'ebonystream'
    loads = list(dict.fromkeys(load for load, _ in rows))
    policies = list(dict.fromkeys(policy for _, policy in rows))
    figure, axes = pyplot.subplots(figsize=(9, 4))
    positions = np.arange(len(loads))
    for number, policy in enumerate(policies):
        heights = [rows[load, policy]['worst'] for load in loads]
        axes.bar(
            positions + number * BAR_WIDTH, heights, BAR_WIDTH, label=policy
        )
    axes.set_xticks(positions + BAR_WIDTH * (len(policies) - 1) / 2, loads)
    axes.set(
        title='Worst two windows of 2 s, 17 entry hosts, 35 servers',
        ylabel='share of the worth earned',
    )
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)
