"""The probe aggregate: asking servers how they are, within a budget."""

from ebonystream.probe._budget import ProbeBudget
from ebonystream.probe._prober import Probe, Prober, probe_forever

__all__ = (
    'Probe',
    'ProbeBudget',
    'Prober',
    'probe_forever',
)
