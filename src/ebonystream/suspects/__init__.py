"""Suspects: requests that may crash the backend servers they run on."""

from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._cuts import Cut, CutRequests
from ebonystream.suspects._fingerprint import Fingerprint, digest_request
from ebonystream.suspects._notes import SuspectExchange, SuspectNote
from ebonystream.suspects._table import (
    CRASH_AGE,
    MASS_CRASHES,
    MASS_WINDOW,
    MAX_CRASHES,
    MAX_SUSPECTS,
    SuspectTable,
)

__all__ = (
    'CRASH_AGE',
    'MASS_CRASHES',
    'MASS_WINDOW',
    'MAX_CRASHES',
    'MAX_SUSPECTS',
    'Crash',
    'CrashId',
    'Cut',
    'CutRequests',
    'Fingerprint',
    'SuspectExchange',
    'SuspectNote',
    'SuspectTable',
    'Suspicion',
    'digest_request',
)
