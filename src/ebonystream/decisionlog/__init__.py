"""The decision log: one JSON line for each decision, bounded."""

from ebonystream.decisionlog._writer import (
    EventLogger,
    LineBuffer,
    make_event_logger,
    start_decision_log,
)

__all__ = (
    'EventLogger',
    'LineBuffer',
    'make_event_logger',
    'start_decision_log',
)
