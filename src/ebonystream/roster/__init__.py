"""The roster of known backend servers, with their state and load."""

from ebonystream.roster._entry import EntriesListing, EntryState, ServerEntry
from ebonystream.roster._reliability import is_unreliable
from ebonystream.roster._report import HealthReport, LoadReport, ServerNotice
from ebonystream.roster._roster import Roster, RosterChange
from ebonystream.roster._server import KnownServer

__all__ = (
    'EntriesListing',
    'EntryState',
    'HealthReport',
    'KnownServer',
    'LoadReport',
    'Roster',
    'RosterChange',
    'ServerEntry',
    'ServerNotice',
    'is_unreliable',
)
