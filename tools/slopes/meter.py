"""Measuring of processor time and memory within one process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

REPEATS = 5
US_PER_SECOND = 1_000_000


def time_work(work: Callable[[], object]) -> float:
    """Give the processor time of some work, in microseconds.

    The least of several repeats counts: what disturbs only adds.

    Args:
        work: Does it once.
    """
    spent = []
    for _ in range(REPEATS):
        gc.collect()
        began = time.process_time()
        work()
        spent.append(time.process_time() - began)
    return min(spent) * US_PER_SECOND


def weigh_state(build: Callable[[], object]) -> float:
    """Give the memory that a state takes, in bytes.

    Args:
        build: Makes the state.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = build()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    # The state has to live until it was weighed.
    assert state is not None
    return held
