"""The decision log: one JSON line for each decision, bounded."""

from ebonystream.decisionlog._lines import (
    Note,
    OutputBuffer,
    make_note,
    start_decision_log,
)

__all__ = ('Note', 'OutputBuffer', 'make_note', 'start_decision_log')
