"""One page of metrics: counters, histograms and figures read on demand.

Series are bounded: a label takes its values from the operators' lists, the
host list or a closed list of kinds, never from what a caller sent.
"""

from collections.abc import Callable
from itertools import accumulate

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

from ebonystream.counting import (
    BUCKET_BOUNDS_SECONDS,
    LabeledCounter,
    LabeledHistogram,
    LatencyHistogram,
)

LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)

ReadGauge = Callable[[], float]
"""Reads a figure at the moment it is asked for."""


@attrs.define
class MetricsPage:
    """The metrics that a host shows.

    Attributes:
        registry: Every metric.
        gauges: Figures that are read when the page is asked for.
    """

    registry: Registry = attrs.field(factory=Registry)
    gauges: dict[str, tuple[Gauge, ReadGauge]] = attrs.field(factory=dict)

    def add_counter(self, name: str, doc: str) -> Counter:
        """Add a figure that only grows.

        Args:
            name: The metric's name.
            doc: What it tells.
        """
        return Counter(name, doc, registry=self.registry)

    def add_latencies(self, name: str, doc: str) -> Histogram:
        """Add a histogram of latencies in seconds.

        Args:
            name: The metric's name.
            doc: What it tells.
        """
        return Histogram(
            name,
            doc,
            buckets=list(LATENCY_BUCKETS_SECONDS),
            registry=self.registry,
        )

    def take_counts(self, counts: LabeledCounter) -> None:
        """Take over what was counted before the page was made.

        Args:
            counts: The counts.
        """
        counter = self.add_counter(counts.name, counts.doc)
        for labels, count in counts.series.items():
            named = dict(zip(counts.label_names, labels, strict=True))
            counter.set(named, count)

    def take_latencies(self, latencies: LabeledHistogram) -> None:
        """Take over latencies that were counted before the page was made.

        Args:
            latencies: The latencies.
        """
        histogram = Histogram(
            latencies.name,
            latencies.doc,
            buckets=list(BUCKET_BOUNDS_SECONDS),
            registry=self.registry,
        )
        for labels, one in latencies.series.items():
            named = dict(zip(latencies.label_names, labels, strict=True))
            histogram.set_value(named, _convert(one))

    def add_gauge(self, name: str, doc: str, read: ReadGauge) -> None:
        """Add a figure that is read when the page is asked for.

        Args:
            name: The metric's name, with its unit.
            doc: What it tells.
            read: Reads it.
        """
        gauge = Gauge(name, doc, registry=self.registry)
        self.gauges[name] = (gauge, read)

    def render(self) -> tuple[bytes, str]:
        """Spell the page as text and name its content type."""
        for gauge, read in self.gauges.values():
            gauge.set({}, read())
        text, headers = render(self.registry, [])
        return text, headers['Content-Type']


def _convert(latencies: LatencyHistogram) -> Buckets:
    converted = Buckets(*BUCKET_BOUNDS_SECONDS)
    counts = accumulate(latencies.buckets)
    converted.buckets.update(zip(converted.buckets, counts, strict=True))
    converted.observations = sum(latencies.buckets)
    converted.sum = latencies.total
    return converted
