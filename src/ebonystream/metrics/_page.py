"""A metrics page with counters, histograms and gauges read on demand.

The number of series is bounded: label values come from the operators' lists,
the host list or a closed list of kinds, never from a caller's request.
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
"""Return the current value of a gauge."""


@attrs.define
class MetricsPage:
    """The metrics that a host exposes.

    Attributes:
        registry: Registry of every metric.
        gauges: Gauges that are read when the page is rendered, by name.
    """

    registry: Registry = attrs.field(factory=Registry)
    gauges: dict[str, tuple[Gauge, ReadGauge]] = attrs.field(factory=dict)

    def add_counter(self, name: str, help_text: str) -> Counter:
        """Add a counter.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
        """
        return Counter(name, help_text, registry=self.registry)

    def add_latency_histogram(self, name: str, help_text: str) -> Histogram:
        """Add a histogram of latencies in seconds.

        Args:
            name: Name of the metric.
            help_text: Help text of the metric.
        """
        return Histogram(
            name,
            help_text,
            buckets=list(LATENCY_BUCKETS_SECONDS),
            registry=self.registry,
        )

    def add_labeled_counter(self, counts: LabeledCounter) -> None:
        """Add a counter with the values that were counted so far.

        Args:
            counts: The counter to copy.
        """
        counter = self.add_counter(counts.name, counts.doc)
        for label_values, count in counts.series.items():
            labels = dict(zip(counts.label_names, label_values, strict=True))
            counter.set(labels, count)

    def add_labeled_histogram(self, latencies: LabeledHistogram) -> None:
        """Add a histogram with the latencies that were recorded so far.

        Args:
            latencies: The histogram to copy.
        """
        histogram = Histogram(
            latencies.name,
            latencies.doc,
            buckets=list(BUCKET_BOUNDS_SECONDS),
            registry=self.registry,
        )
        for label_values, histogram_series in latencies.series.items():
            labels = dict(zip(latencies.label_names, label_values, strict=True))
            histogram.set_value(labels, _convert_buckets(histogram_series))

    def add_gauge(self, name: str, help_text: str, read: ReadGauge) -> None:
        """Add a gauge that is read when the page is rendered.

        Args:
            name: Name of the metric, including its unit.
            help_text: Help text of the metric.
            read: Returns the current value.
        """
        gauge = Gauge(name, help_text, registry=self.registry)
        self.gauges[name] = (gauge, read)

    def render(self) -> tuple[bytes, str]:
        """Return the page in the text format, and its content type."""
        for gauge, read in self.gauges.values():
            gauge.set({}, read())
        text, headers = render(self.registry, [])
        return text, headers['Content-Type']


def _convert_buckets(latencies: LatencyHistogram) -> Buckets:
    converted = Buckets(*BUCKET_BOUNDS_SECONDS)
    cumulative = accumulate(latencies.buckets)
    converted.buckets.update(zip(converted.buckets, cumulative, strict=True))
    converted.observations = sum(latencies.buckets)
    converted.sum = latencies.total
    return converted
