"""Cached fingerprints of calls."""

import functools

from ebonystream.call import Call
from ebonystream.suspects import Fingerprint, compute_fingerprint

FINGERPRINT_CACHE_SIZE = 32
"""Size of the cache of fingerprints, in calls."""


@functools.lru_cache(maxsize=FINGERPRINT_CACHE_SIZE)
def compute_call_fingerprint(call: Call) -> Fingerprint:
    """Compute the fingerprint of a call.

    Args:
        call: The call; its key and its customer are not part of the
            fingerprint.
    """
    return compute_fingerprint(
        call.service, call.route, call.method, call.target, body=call.body
    )
