"""Metrics in the Prometheus text format, whatever they count."""

from ebonystream.metrics._page import (
    LATENCY_BUCKETS_SECONDS,
    MetricsPage,
    ReadGauge,
)

__all__ = ('LATENCY_BUCKETS_SECONDS', 'MetricsPage', 'ReadGauge')
