"""A duty that one host performs at a time, decided without a network."""

from ebonystream.duty._election import Candidate, elect_holder
from ebonystream.duty._holder import DutyHolder, MakeReport, Role
from ebonystream.duty._lease import Lease
from ebonystream.duty._records import (
    AppendRecord,
    CallResult,
    DutyRecord,
    LeaseTimes,
    ReadTopic,
    Report,
    Rest,
    SendReport,
    Step,
    TopicTail,
)
from ebonystream.duty._sightings import (
    NO_TOKEN,
    NO_WINDOW,
    KnownRecord,
    Sightings,
)

__all__ = (
    'NO_TOKEN',
    'NO_WINDOW',
    'AppendRecord',
    'CallResult',
    'Candidate',
    'DutyHolder',
    'DutyRecord',
    'KnownRecord',
    'Lease',
    'LeaseTimes',
    'MakeReport',
    'ReadTopic',
    'Report',
    'Rest',
    'Role',
    'SendReport',
    'Sightings',
    'Step',
    'TopicTail',
    'elect_holder',
)
