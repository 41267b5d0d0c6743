"""Decoding of the keys of callers."""

from ebonystream._calls import Headers
from ebonystream.platform._headers import AUTHORIZATION
from ebonystream.workspace import (
    MALFORMED_CREDENTIAL,
    NO_CREDENTIAL,
    Credential,
    CredentialState,
    compute_key_digest,
)

SCHEME = b'token'


def parse_credential(headers: Headers) -> Credential:
    """Parse the key of a request.

    A request with several fields for a key has none: which of them another
    process would read is not known. The scheme matches in any case.

    Args:
        headers: Header fields, with names in lower case.
    """
    fields = [value for name, value in headers if name == AUTHORIZATION]
    if not fields:
        return NO_CREDENTIAL
    scheme, *keys = fields[0].split() or (b'',)
    is_single = len(fields) == 1 and len(keys) == 1
    if is_single and scheme.lower() == SCHEME:
        return Credential(CredentialState.PRESENT, compute_key_digest(keys[0]))
    return MALFORMED_CREDENTIAL
