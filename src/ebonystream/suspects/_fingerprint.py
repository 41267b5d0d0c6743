"""Fingerprints: the same for each copy of a request, whatever its name."""

import hashlib
from typing import NewType

Fingerprint = NewType('Fingerprint', str)
"""Names a request by what it asks and its body."""

DIGEST_BYTES = 12


def digest_request(*asked: str, body: bytes) -> Fingerprint:
    """Work out the fingerprint of a request.

    Args:
        asked: What it asks, such as its method and target.
        body: Its whole body.
    """
    digest = hashlib.blake2b(
        '\0'.join(asked).encode(), digest_size=DIGEST_BYTES
    )
    digest.update(b'\0')
    digest.update(body)
    return Fingerprint(digest.hexdigest())
