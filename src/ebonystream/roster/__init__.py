"""The roster: the backend servers that are known, and what each one bears."""

from ebonystream.roster._entry import EntryState, ServerEntry
from ebonystream.roster._report import HealthReport, LoadReport
from ebonystream.roster._roster import Roster, RosterChange
from ebonystream.roster._server import KnownServer

__all__ = (
    'EntryState',
    'HealthReport',
    'KnownServer',
    'LoadReport',
    'Roster',
    'RosterChange',
    'ServerEntry',
)
