"""Simulates every policy at every load; prints a table and draws a plot."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import typer

from experiment.loads import LOADS
from experiment.plot import draw_plot
from experiment.policies import POLICIES
from experiment.run import simulate

PROCESSES = 2
RESULT_COLUMNS = (
    'worth',
    'worst',
    'served',
    'p99_ms',
    'refused',
    'turned_away',
)
COUNT_COLUMNS = ('question', 'far question', 'far send')

Job = tuple[str, str, int]


def run_job(job: Job) -> dict[str, Any]:
    """Simulate one policy under one load."""
    load, policy, seed = job
    return simulate(LOADS[load], POLICIES[policy], seed=seed)


def main(seed: int = 1, seeds: int = 3, plot: Path | None = None) -> None:
    """Play every policy at every load.

    Args:
        seed: The first seed.
        seeds: How many seeds; figures are means over them.
        plot: Where the plot goes, if anywhere.
    """
    run_seeds = range(seed, seed + seeds)
    jobs = list(itertools.product(LOADS, POLICIES, run_seeds))
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(jobs, pool.map(run_job, jobs), strict=True))
    names = (*RESULT_COLUMNS, *COUNT_COLUMNS)
    rows = {
        (load, policy): average(
            [results[load, policy, run_seed] for run_seed in run_seeds], names
        )
        for load, policy in itertools.product(LOADS, POLICIES)
    }
    sys.stdout.write(format_table(rows, names))
    if plot is not None:
        draw_plot(rows, plot)


def average(
    runs: list[dict[str, Any]], names: tuple[str, ...]
) -> dict[str, float]:
    """Return the mean of each figure over runs.

    Args:
        runs: Results of each run, by name.
        names: Names of the figures; a figure absent from a run counts as 0.
    """
    return {
        name: sum(run.get(name, 0) for run in runs) / len(runs)
        for name in names
    }


def format_table(
    rows: dict[tuple[str, str], dict[str, float]], names: tuple[str, ...]
) -> str:
    """Format the results as a Markdown table."""
    lines = [
        f'| load | policy | {" | ".join(names)} |',
        f'| --- | --- | {"--- | " * (len(names) - 1)}--- |',
    ]
    for (load, policy), row in rows.items():
        cells = ' | '.join(f'{row[name]:.4g}' for name in names)
        lines.append(f'| {load} | {policy} | {cells} |')
    return '\n'.join((*lines, ''))


if __name__ == '__main__':
    typer.run(main)
