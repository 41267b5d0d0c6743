"""Logs and metrics of calls, attempts and control traffic."""

from ebonystream.observation._calls import (
    log_attempt,
    log_placement,
    observe_calls,
    observe_requests,
)
from ebonystream.observation._logs import start_logs
from ebonystream.observation._metrics import Metrics
from ebonystream.observation._traffic import (
    Traffic,
    count_transport_bytes,
    make_traffic_hooks,
)

__all__ = (
    'Metrics',
    'Traffic',
    'count_transport_bytes',
    'log_attempt',
    'log_placement',
    'make_traffic_hooks',
    'observe_calls',
    'observe_requests',
    'start_logs',
)
