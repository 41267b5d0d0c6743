"""The crash aggregate: isolate and refuse requests that crash servers."""

from ebonystream.crash._fingerprint import make_fingerprint
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

__all__ = (
    'CrashRules',
    'RunningCall',
    'RunningCalls',
    'check_isolation',
    'check_refused',
    'make_crash_begin',
    'make_crash_gate',
    'make_crash_guard',
    'make_crash_observer',
    'make_fingerprint',
)
