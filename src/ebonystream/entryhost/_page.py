"""Metrics page of an entry host; imported only when it is requested."""

from functools import partial

from ebonystream.entryhost._gauges import GAUGES
from ebonystream.entryhost._parts import HostParts
from ebonystream.metrics import MetricsPage


def make_page(parts: HostParts) -> MetricsPage:
    """Make the metrics page from what a host has counted so far.

    Args:
        parts: The state of the host.
    """
    page = MetricsPage()
    for counter in parts.metrics.list_counts():
        page.add_labeled_counter(counter)
    for histogram in parts.metrics.list_latencies():
        page.add_labeled_histogram(histogram)
    for name, gauge in GAUGES.items():
        page.add_gauge(name, gauge.help_text, partial(gauge.read, parts))
    return page
