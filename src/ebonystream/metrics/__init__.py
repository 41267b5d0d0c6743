"""Metrics pages in the Prometheus text format."""

from ebonystream.metrics._page import (
    LATENCY_BUCKETS_SECONDS,
    MetricsPage,
    ReadGauge,
)

__all__ = ('LATENCY_BUCKETS_SECONDS', 'MetricsPage', 'ReadGauge')
