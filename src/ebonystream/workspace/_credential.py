"""What a request shows of its key, and how it was let in."""

import enum

import attrs

from ebonystream._ids import KeyDigest


class CredentialState(enum.Enum):
    """Whether a request has a key."""

    MISSING = 'missing'
    """The request has no key."""

    MALFORMED = 'malformed'
    """The request has several keys, or none in the expected form."""

    PRESENT = 'present'
    """The request has one key."""


@attrs.frozen
class Credential:
    """The key of a request, as a digest.

    Attributes:
        state: Whether there is a key.
        digest: Digest of the key; None unless there is one.
    """

    state: CredentialState
    digest: KeyDigest | None = None


NO_CREDENTIAL = Credential(CredentialState.MISSING)
MALFORMED_CREDENTIAL = Credential(CredentialState.MALFORMED)


class Access(enum.Enum):
    """On what grounds a request may be forwarded."""

    OPEN = 'open'
    """The configuration has no workspaces."""

    EXEMPT = 'exempt'
    """The route of the request needs no key."""

    KEY = 'key'
    """The key of the request belongs to a workspace."""
