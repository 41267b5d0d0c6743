"""Suspects: requests that may crash the backend servers they run on."""

from ebonystream.suspects._crash import Crash, CrashId, Suspicion
from ebonystream.suspects._fingerprint import Fingerprint, compute_fingerprint
from ebonystream.suspects._interrupted import (
    InterruptedRequest,
    InterruptedRequests,
)
from ebonystream.suspects._notes import SuspectExchange, SuspectNote
from ebonystream.suspects._table import (
    CRASH_RETENTION,
    MASS_FAILURE_CRASHES,
    MASS_FAILURE_WINDOW,
    MAX_CRASHES,
    MAX_SUSPECTS_PER_CRASH,
    SuspectTable,
)

__all__ = (
    'CRASH_RETENTION',
    'MASS_FAILURE_CRASHES',
    'MASS_FAILURE_WINDOW',
    'MAX_CRASHES',
    'MAX_SUSPECTS_PER_CRASH',
    'Crash',
    'CrashId',
    'InterruptedRequest',
    'InterruptedRequests',
    'Fingerprint',
    'SuspectExchange',
    'SuspectNote',
    'SuspectTable',
    'Suspicion',
    'compute_fingerprint',
)
