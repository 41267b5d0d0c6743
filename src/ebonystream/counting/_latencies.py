"""Latencies in buckets, one histogram for each set of labels."""

from bisect import bisect_left
from collections import defaultdict

import attrs

from ebonystream._ids import Seconds
from ebonystream.counting._counts import Labels

BOUNDS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0)
"""The upper bounds of the buckets."""

BEYOND = float('inf')


def _make_buckets() -> list[int]:
    return [0 for _ in (*BOUNDS_SECONDS, BEYOND)]


@attrs.define
class Latencies:
    """One histogram.

    Attributes:
        total: The sum of all latencies, in seconds.
        buckets: How many lie within each bound but not within one before;
            those beyond all bounds come last.
    """

    total: float = 0
    buckets: list[int] = attrs.field(factory=_make_buckets)

    def add(self, latency: Seconds) -> None:
        """Count one latency, in seconds."""
        self.total += latency
        self.buckets[bisect_left(BOUNDS_SECONDS, latency)] += 1


def _make_series() -> defaultdict[Labels, Latencies]:
    return defaultdict(Latencies)


@attrs.define
class LatencyCounts:
    """The latencies that were counted under one name.

    Attributes:
        name: The name of the metric.
        doc: What it tells.
        labels: The names of its labels.
        series: The histogram for each set of label values.
    """

    name: str
    doc: str
    labels: Labels
    series: defaultdict[Labels, Latencies] = attrs.field(factory=_make_series)

    def add(self, latency: Seconds, *labels: str) -> None:
        """Count one latency.

        Args:
            latency: How long it took, in seconds.
            labels: The values of its labels, in the order of their names.
        """
        self.series[labels].add(latency)
