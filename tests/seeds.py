"""Seeds of randomised tests: a few in CI, more with `make soak`."""

import os


def read_seeds(default):
    """Return the range of seeds that the variable `SEEDS` states.

    Args:
        default: Used if the variable is not set. A range such as `0-99`, or a
            number of seeds: `6` means 0 to 5.
    """
    first, dash, last = os.environ.get('SEEDS', default).partition('-')
    if not dash:
        return range(int(first))
    return range(int(first), int(last) + 1)
