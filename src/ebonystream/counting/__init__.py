"""Labeled counters and histograms, which can later be exposed as metrics."""

from ebonystream.counting._counts import LabeledCounter, Labels
from ebonystream.counting._latencies import (
    BUCKET_BOUNDS_SECONDS,
    LabeledHistogram,
    LatencyHistogram,
)

__all__ = (
    'BUCKET_BOUNDS_SECONDS',
    'LabeledCounter',
    'Labels',
    'LatencyHistogram',
    'LabeledHistogram',
)
