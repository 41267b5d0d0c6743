"""Latency histograms with labels."""

from bisect import bisect_left
from collections import defaultdict

import attrs

from ebonystream._ids import Seconds
from ebonystream.counting._counts import Labels

BUCKET_BOUNDS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0)
"""Inclusive upper bounds of the buckets; the last bucket has no bound."""

INFINITY = float('inf')


def _make_buckets() -> list[int]:
    return [0 for _ in (*BUCKET_BOUNDS_SECONDS, INFINITY)]


@attrs.define
class LatencyHistogram:
    """The histogram of one series.

    Attributes:
        total: Sum of all latencies, in seconds.
        buckets: Number of latencies in each bucket, not cumulative.
    """

    total: float = 0
    buckets: list[int] = attrs.field(factory=_make_buckets)

    def observe(self, latency: Seconds) -> None:
        """Record a latency, in seconds."""
        self.total += latency
        self.buckets[bisect_left(BUCKET_BOUNDS_SECONDS, latency)] += 1


def _make_series() -> defaultdict[Labels, LatencyHistogram]:
    return defaultdict(LatencyHistogram)


@attrs.define
class LabeledHistogram:
    """A latency histogram with labels.

    Attributes:
        name: Name of the metric.
        doc: Help text of the metric.
        label_names: Names of the labels.
        series: The histogram of each set of label values.
    """

    name: str
    doc: str
    label_names: Labels
    series: defaultdict[Labels, LatencyHistogram] = attrs.field(
        factory=_make_series
    )

    def observe(self, latency: Seconds, *labels: str) -> None:
        """Record a latency.

        Args:
            latency: The latency, in seconds.
            labels: The label values, in the order of the label names.
        """
        self.series[labels].observe(latency)
