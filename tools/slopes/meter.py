"""Measures processor time and memory within one process."""

import gc
import time
import tracemalloc
from collections.abc import Callable

REPEATS = 5
US_PER_SECOND = 1_000_000


def measure_cpu_us(work: Callable[[], object]) -> float:
    """Return the processor time of a function, in microseconds.

    This is the minimum of several runs, since interference can only add time.

    Args:
        work: The function to measure.
    """
    durations = []
    for _ in range(REPEATS):
        gc.collect()
        started_at = time.process_time()
        work()
        durations.append(time.process_time() - started_at)
    return min(durations) * US_PER_SECOND


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory that a state occupies, in bytes.

    Args:
        build: Builds the state.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    state = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    # Keep the state referenced until its memory has been measured.
    assert state is not None
    return size
