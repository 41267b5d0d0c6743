"""Search for the workspace of a key."""

import hmac
from collections.abc import Iterable

import attrs

from ebonystream._ids import KeyDigest
from ebonystream.workspace._workspace import KEY_DIGEST_BYTES, Workspace

PREFIX_BYTES = 4
"""Bytes of a digest that select the entries to compare with."""

NO_DIGEST = KeyDigest(bytes(KEY_DIGEST_BYTES))


@attrs.frozen
class _Entry:
    digest: KeyDigest
    workspace: Workspace


@attrs.define
class WorkspaceIndex:
    """Workspaces by the digests of their keys.

    The first bytes of a digest select a few entries, each of which is compared
    in constant time. Timings can tell only these bytes, from which no key
    follows.
    """

    _entries: dict[bytes, list[_Entry]] = attrs.field(factory=dict)

    @classmethod
    def build(cls, workspaces: Iterable[Workspace]) -> 'WorkspaceIndex':
        """Build the index of a configuration.

        Args:
            workspaces: All workspaces of the configuration.
        """
        entries: dict[bytes, list[_Entry]] = {}
        for workspace in workspaces:
            for digest in workspace.digests:
                prefix = digest[:PREFIX_BYTES]
                entries.setdefault(prefix, []).append(_Entry(digest, workspace))
        return cls(entries)

    def find(self, digest: KeyDigest) -> Workspace | None:
        """Return the workspace of a key; None for an unknown key.

        Args:
            digest: Digest of the key.
        """
        found: Workspace | None = None
        entries = self._entries.get(digest[:PREFIX_BYTES], ())
        for entry in entries:
            if hmac.compare_digest(entry.digest, digest):
                found = entry.workspace
        if not entries:
            hmac.compare_digest(NO_DIGEST, digest)
        return found
