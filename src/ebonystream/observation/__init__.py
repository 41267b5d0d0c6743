"""Logs and metrics of calls, attempts and control traffic."""

from ebonystream.observation._calls import (
    log_attempt,
    log_placing,
    observe_run,
    observe_serve,
)
from ebonystream.observation._logs import start_logs
from ebonystream.observation._metrics import Metrics
from ebonystream.observation._traffic import (
    Traffic,
    count_transport,
    make_traffic_hooks,
)

__all__ = (
    'Metrics',
    'Traffic',
    'count_transport',
    'log_attempt',
    'log_placing',
    'make_traffic_hooks',
    'observe_run',
    'observe_serve',
    'start_logs',
)
