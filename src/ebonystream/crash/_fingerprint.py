"""Cached fingerprints of calls."""

import functools

from ebonystream.call import Call
from ebonystream.suspects import Fingerprint, digest_request

KEPT_DIGESTS = 32
"""Size of the cache of fingerprints, in calls."""


@functools.lru_cache(maxsize=KEPT_DIGESTS)
def make_fingerprint(call: Call) -> Fingerprint:
    """Compute the fingerprint of a call.

    Args:
        call: The call; its key and its customer are not part of the
            fingerprint.
    """
    return digest_request(
        call.service, call.route, call.method, call.target, body=call.body
    )
