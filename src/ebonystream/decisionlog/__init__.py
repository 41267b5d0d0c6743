"""Decision log: one JSON line for each decision, limited in rate."""

from ebonystream.decisionlog._lines import (
    Note,
    OutputBuffer,
    make_note,
    start_decision_log,
)

__all__ = ('Note', 'OutputBuffer', 'make_note', 'start_decision_log')
