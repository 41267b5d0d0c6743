"""Measures the policies; JSON lines on one output, tables on the other."""

import itertools
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import typer

from measure.load import Load
from measure.plots import draw_plots
from measure.run import HEDGED, POLICIES, run_policy
from measure.table import make_tables
from measure.world import SITES

LOADS = (0.5, 0.7, 0.85, 0.95, 1.5)
HOSTS = (13, 17)
PROCESSES = 4
ZONE_LOAD = 0.7
HEDGE_LOAD = 0.7

Job = tuple[str, Load]


def list_jobs(calls: int, seed: int) -> list[Job]:
    """Give every run of the measurement."""
    jobs = [
        (policy, Load(site, hosts, share, calls, seed, noisy=bad, slow=bad))
        for site, hosts, share, bad, policy in itertools.product(
            SITES, HOSTS, LOADS, (False, True), POLICIES
        )
    ]
    zones = [
        ('product', Load(site, hosts, ZONE_LOAD, calls, seed, zone_out=True))
        for site, hosts in itertools.product(SITES, HOSTS)
    ]
    hedged = [
        (
            HEDGED,
            Load(site, hosts, HEDGE_LOAD, calls, seed, noisy=bad, slow=bad),
        )
        for site, hosts, bad in itertools.product(SITES, HOSTS, (False, True))
    ]
    return jobs + zones + hedged


def run_job(job: Job) -> dict[str, Any]:
    """Run one policy on one load."""
    return run_policy(*job)


def main(calls: int = 10_000, seed: int = 1, plots: Path | None = None) -> None:
    """Measure every policy at every load.

    Args:
        calls: About how many calls each run has.
        seed: Of all random draws.
        plots: Where the plots go, if anywhere.
    """
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = list(pool.map(run_job, list_jobs(calls, seed)))
    for run in runs:
        sys.stdout.write(f'{json.dumps(run)}\n')
    sys.stderr.write(make_tables(runs))
    if plots is not None:
        draw_plots(runs, plots)


if __name__ == '__main__':
    typer.run(main)
