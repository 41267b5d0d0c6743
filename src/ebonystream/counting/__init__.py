"""Labeled counters and histograms, which can later be exposed as metrics."""

from ebonystream.counting._counts import Counts, Labels
from ebonystream.counting._latencies import (
    BOUNDS_SECONDS,
    Latencies,
    LatencyCounts,
)

__all__ = (
    'BOUNDS_SECONDS',
    'Counts',
    'Labels',
    'Latencies',
    'LatencyCounts',
)
