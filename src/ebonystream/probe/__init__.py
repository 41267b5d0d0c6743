"""The probe aggregate: health probes of servers, within a budget."""

from ebonystream.probe._budget import ProbeBudget
from ebonystream.probe._prober import Probe, Prober, probe_forever

__all__ = (
    'Probe',
    'ProbeBudget',
    'Prober',
    'probe_forever',
)
