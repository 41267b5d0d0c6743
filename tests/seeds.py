"""The seeds of randomised runs: a few in CI, more by `make soak`."""

import os


def read_seeds(default):
    """Give the seeds that `SEEDS` names: `0-99`, `17-17`, or `6` for 0 to 5."""
    first, dash, last = os.environ.get('SEEDS', default).partition('-')
    if not dash:
        return range(int(first))
    return range(int(first), int(last) + 1)
