"""Plays every policy at every load; a table on one output, a plot beside."""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import typer

from experiment.loads import LOADS
from experiment.plot import draw_plot
from experiment.policies import POLICIES
from experiment.run import play

PROCESSES = 2
SHOWN = ('worth', 'worst', 'served', 'p99_ms', 'refused', 'turned_away')
COUNTED = ('question', 'far question', 'far send')

Job = tuple[str, str, int]


def run_job(job: Job) -> dict[str, Any]:
    """Play one load with one policy."""
    load, policy, seed = job
    return play(LOADS[load], POLICIES[policy], seed=seed)


def main(seed: int = 1, seeds: int = 3, plot: Path | None = None) -> None:
    """Play every policy at every load.

    Args:
        seed: The first seed.
        seeds: How many seeds; figures are means over them.
        plot: Where the plot goes, if anywhere.
    """
    some = range(seed, seed + seeds)
    jobs = list(itertools.product(LOADS, POLICIES, some))
    with ProcessPoolExecutor(PROCESSES) as pool:
        played = dict(zip(jobs, pool.map(run_job, jobs), strict=True))
    names = (*SHOWN, *COUNTED)
    rows = {
        (load, policy): average(
            [played[load, policy, one] for one in some], names
        )
        for load, policy in itertools.product(LOADS, POLICIES)
    }
    sys.stdout.write(spell_table(rows, names))
    if plot is not None:
        draw_plot(rows, plot)


def average(
    runs: list[dict[str, Any]], names: tuple[str, ...]
) -> dict[str, float]:
    """Give the mean of each figure over runs.

    Args:
        runs: The runs.
        names: The figures; one that a run doesn't have counts as 0.
    """
    return {
        name: sum(run.get(name, 0) for run in runs) / len(runs)
        for name in names
    }


def spell_table(
    rows: dict[tuple[str, str], dict[str, float]], names: tuple[str, ...]
) -> str:
    """Spell the table in Markdown."""
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
