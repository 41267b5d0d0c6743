"""Print how many moves get a wrong verdict, by load, as a Markdown table."""

import argparse
import itertools
from collections.abc import Iterator

from ebonystream.versionmove import MoveVerdict
from versionload.simulation import (
    GOOD_FAILED_SHARE,
    Load,
    MoveResult,
    simulate,
)

RATES = (40, 130, 400)
DURATIONS = (12, 20)
FAILED_SHARES = (GOOD_FAILED_SHARE, 0.02, 0.05, 0.1, 0.3, 1)
FAULT_STARTS = (0, 0.5)
MAX_LATE_S = 5
HEADER = (
    'failed',
    'rate, a second',
    'duration, s',
    'fault from',
    'rolled back',
    'finished',
    'over the bound',
    'late',
    'exposed, mean',
    'bound, mean',
)


def list_loads() -> Iterator[Load]:
    """Yield the loads of the table."""
    for failed_share, rate, duration, start in itertools.product(
        FAILED_SHARES, RATES, DURATIONS, FAULT_STARTS
    ):
        if start and failed_share == GOOD_FAILED_SHARE:
            continue
        yield Load(
            rate=rate,
            duration=duration,
            failed_share=failed_share,
            fault_progress=start,
        )

    for start in FAULT_STARTS:
        yield Load(
            rate=150, duration=15, failed_share=0.14, fault_progress=start
        )


def format_row(load: Load, results: list[MoveResult]) -> str:
    """Format the results of one load as a row.

    Args:
        load: The load.
        results: The results of all seeds.
    """
    verdicts = [result.verdict for result in results]
    cells = (
        load.failed_share,
        load.rate,
        load.duration,
        load.fault_progress,
        verdicts.count(MoveVerdict.ROLLED_BACK),
        verdicts.count(MoveVerdict.FINISHED),
        sum(result.exposed > result.bound for result in results),
        sum(result.late_s > MAX_LATE_S for result in results),
        round(sum(result.exposed for result in results) / len(results)),
        round(sum(result.bound for result in results) / len(results)),
    )
    return ' | '.join(map(str, cells))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=200)
    seeds = range(parser.parse_args().seeds)
    print('|', ' | '.join(HEADER), '|')
    print('|', ' | '.join('---' for _ in HEADER), '|')
    for load in list_loads():
        results = [simulate(load, seed) for seed in seeds]
        print('|', format_row(load, results), '|', flush=True)


if __name__ == '__main__':
    main()
