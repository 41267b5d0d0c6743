"""The observation aggregate: what operators see of calls and attempts."""

from ebonystream.observation._calls import (
    log_attempt,
    observe_run,
    observe_serve,
)
from ebonystream.observation._logs import start_logs
from ebonystream.observation._metrics import Metrics, render_metrics

__all__ = (
    'Metrics',
    'log_attempt',
    'observe_run',
    'observe_serve',
    'render_metrics',
    'start_logs',
)
