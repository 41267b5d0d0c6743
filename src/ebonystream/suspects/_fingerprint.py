"""Fingerprints of requests, equal for all copies whatever their key."""

import hashlib
from typing import NewType

Fingerprint = NewType('Fingerprint', str)
"""Digest of the content of a request, such as its target and its body."""

DIGEST_BYTES = 12


def compute_fingerprint(*parts: str, body: bytes) -> Fingerprint:
    """Compute the fingerprint of a request.

    Args:
        parts: The parts to digest, such as the method and the target.
        body: The complete body.
    """
    digest = hashlib.blake2b(
        '\0'.join(parts).encode(), digest_size=DIGEST_BYTES
    )
    digest.update(b'\0')
    digest.update(body)
    return Fingerprint(digest.hexdigest())
