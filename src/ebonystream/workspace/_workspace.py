"""A workspace with the digests of its keys."""

import hashlib
from collections.abc import Iterable

import attrs

from ebonystream._ids import KeyDigest, WorkspaceName
from ebonystream._validation import make_range_validator, validate_token

KEY_DIGEST_BYTES = 16
"""Size of a digest. A listing with 10,000 of them is no larger than one with
the keys themselves, and 128 bits exclude a second key with the same digest."""

MAX_RANK = 1_000_000


def compute_key_digest(key: bytes) -> KeyDigest:
    """Return the digest of a key: the start of its SHA-256.

    Args:
        key: The key.
    """
    return KeyDigest(hashlib.sha256(key).digest()[:KEY_DIGEST_BYTES])


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace: clients that share keys and a priority.

    Attributes:
        name: Unique name in a configuration, sent to backend servers.
        rank: Urgency, in place of that of the route; 0 is the most urgent.
            None keeps that of the route.
        digests: Digests of its keys; none for a workspace without clients.
    """

    name: WorkspaceName = attrs.field(validator=validate_token)
    rank: int | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(make_range_validator(0, MAX_RANK)),
    )
    digests: frozenset[KeyDigest] = attrs.field(default=frozenset(), repr=False)


def find_shared_key(
    workspaces: Iterable[Workspace],
) -> tuple[WorkspaceName, WorkspaceName] | None:
    """Return two workspaces with a common key; None if there are none.

    Args:
        workspaces: All workspaces of a configuration.
    """
    owners: dict[KeyDigest, WorkspaceName] = {}
    for workspace in workspaces:
        for digest in workspace.digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                return owner, workspace.name
    return None
