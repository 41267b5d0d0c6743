"""Makes the page of metrics of an entry host, where somebody asks for it."""

from functools import partial

from ebonystream.entryhost._gauges import FIGURES
from ebonystream.entryhost._parts import HostParts
from ebonystream.metrics import MetricsPage


def make_page(parts: HostParts) -> MetricsPage:
    """Make the page of what a host counted so far.

    Args:
        parts: The state of the host.
    """
    page = MetricsPage()
    for counts in parts.metrics.list_counts():
        page.take_counts(counts)
    for latencies in parts.metrics.list_latencies():
        page.take_latencies(latencies)
    for name, figure in FIGURES.items():
        page.add_gauge(name, figure.doc, partial(figure.read, parts))
    return page
