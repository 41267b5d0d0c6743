"""The fingerprint of a call."""

import functools

from ebonystream.call import Call
from ebonystream.suspects import Fingerprint, digest_request

KEPT_DIGESTS = 32
"""Calls whose fingerprint is not worked out again."""


@functools.lru_cache(maxsize=KEPT_DIGESTS)
def make_fingerprint(call: Call) -> Fingerprint:
    """Work out the fingerprint of a call.

    Args:
        call: Any call; its key and its customer do not count.
    """
    return digest_request(
        call.service, call.route, call.method, call.target, body=call.body
    )
