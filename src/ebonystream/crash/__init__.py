"""The crash aggregate: isolate and refuse requests that crash servers."""

from ebonystream.crash._fingerprint import compute_call_fingerprint
from ebonystream.crash._in_flight import InFlightCall, InFlightCalls
from ebonystream.crash._rules import (
    CrashRules,
    assert_isolation,
    check_refused,
    make_crash_begin,
    make_crash_gate,
    make_crash_guard,
    make_crash_observer,
)

__all__ = (
    'CrashRules',
    'InFlightCall',
    'InFlightCalls',
    'assert_isolation',
    'check_refused',
    'make_crash_begin',
    'make_crash_gate',
    'make_crash_guard',
    'make_crash_observer',
    'compute_call_fingerprint',
)
