"""Fingerprints: the same for each copy of a request, whatever its key."""

import functools
import hashlib
from typing import NewType

from ebonystream.call import Call

Fingerprint = NewType('Fingerprint', str)
"""Names a request by its service, route, target and body."""

DIGEST_BYTES = 12

KEPT_DIGESTS = 32
"""Calls whose fingerprint is not worked out again."""


@functools.lru_cache(maxsize=KEPT_DIGESTS)
def make_fingerprint(call: Call) -> Fingerprint:
    """Work out the fingerprint of a call.

    Args:
        call: Any call; its key and its customer do not count.
    """
    head = '\0'.join((call.service, call.route, call.method, call.target))
    digest = hashlib.blake2b(head.encode(), digest_size=DIGEST_BYTES)
    digest.update(b'\0')
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())
