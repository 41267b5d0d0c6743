"""Plots the results of a measurement."""

from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib import pyplot

from measure.run import POLICIES


def draw_plots(runs: list[dict[str, Any]], folder: Path) -> None:
    """Draw the p99 by load of each site with 17 entry hosts and faults."""
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'ebonystream'
    folder.mkdir(parents=True, exist_ok=True)
    for site in sorted({run['site'] for run in runs}):
        site_runs = [
            run
            for run in runs
            if run['site'] == site
            and run['hosts'] == 17
            and run['faults']
            and not run['zone_out']
        ]
        figure, axes = pyplot.subplots()
        for policy in POLICIES:
            points = [
                (run['load'], run['classes']['all']['p99'])
                for run in site_runs
                if run['policy'] == policy
            ]
            axes.plot(*zip(*points, strict=True), marker='o', label=policy)
        axes.set(
            title=f'{site}, 17 entry hosts, slow servers, noisy neighbour',
            xlabel='load, share of capacity',
            ylabel='p99 of all calls, ms',
            yscale='log',
        )
        axes.legend()
        figure.savefig(folder / f'{site}.svg', metadata={'Date': None})
        pyplot.close(figure)
