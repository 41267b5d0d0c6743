"""The crash aggregate: requests that end the backend servers that run them."""

from ebonystream.crash._crash import Crash, CrashId, Suspicion
from ebonystream.crash._fingerprint import Fingerprint, make_fingerprint
from ebonystream.crash._notes import SuspectExchange, SuspectNote
from ebonystream.crash._rules import (
    CrashRules,
    check_isolation,
    check_refused,
    make_crash_begin,
    make_crash_gate,
    make_crash_guard,
    make_crash_observer,
)
from ebonystream.crash._running import RunningCall, RunningCalls
from ebonystream.crash._table import (
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
    'CrashRules',
    'Fingerprint',
    'RunningCall',
    'RunningCalls',
    'SuspectExchange',
    'SuspectNote',
    'SuspectTable',
    'Suspicion',
    'check_isolation',
    'check_refused',
    'make_crash_begin',
    'make_crash_gate',
    'make_crash_guard',
    'make_crash_observer',
    'make_fingerprint',
)
