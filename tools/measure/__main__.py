"""Measures the policies; JSON lines to stdout, tables to stderr."""

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

UTILIZATIONS = (0.5, 0.7, 0.85, 0.95, 1.5)
HOST_COUNTS = (13, 17)
PROCESSES = 4
ZONE_OUT_UTILIZATION = 0.7
HEDGE_UTILIZATION = 0.7

Job = tuple[str, Load]


def list_jobs(calls: int, seed: int) -> list[Job]:
    """Return all runs of the measurement."""
    jobs = [
        (
            policy,
            Load(
                site,
                hosts,
                utilization,
                calls,
                seed,
                has_noisy_customer=has_faults,
                has_slow_servers=has_faults,
            ),
        )
        for site, hosts, utilization, has_faults, policy in itertools.product(
            SITES, HOST_COUNTS, UTILIZATIONS, (False, True), POLICIES
        )
    ]
    zone_jobs = [
        (
            'product',
            Load(
                site,
                hosts,
                ZONE_OUT_UTILIZATION,
                calls,
                seed,
                has_zone_out=True,
            ),
        )
        for site, hosts in itertools.product(SITES, HOST_COUNTS)
    ]
    hedge_jobs = [
        (
            HEDGED,
            Load(
                site,
                hosts,
                HEDGE_UTILIZATION,
                calls,
                seed,
                has_noisy_customer=has_faults,
                has_slow_servers=has_faults,
            ),
        )
        for site, hosts, has_faults in itertools.product(
            SITES, HOST_COUNTS, (False, True)
        )
    ]
    return jobs + zone_jobs + hedge_jobs


def run_job(job: Job) -> dict[str, Any]:
    """Measure one policy under one load."""
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
