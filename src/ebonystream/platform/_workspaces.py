"""Decoding of workspaces."""

import msgspec

from ebonystream._ids import WorkspaceName
from ebonystream._validation import quote
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.workspace import Workspace, compute_key_digest

WORKSPACE_KIND = 'tenants'


class _Workspace(msgspec.Struct):
    api_keys: tuple[str, ...]
    priority: int | None = None


def decode_workspace(name: str, spec: msgspec.Raw) -> Workspace:
    """Decode a workspace; its keys are kept as digests only.

    Args:
        name: The name of the workspace.
        spec: Its keys and its priority, in JSON.

    Raises:
        FormatError: If any of them is invalid.
    """
    decoded = decode_json(spec, _Workspace)
    # A key must not appear in the log, not even an invalid one.
    if not all(map(_is_word, decoded.api_keys)):
        raise FormatError(
            f'a key of workspace {quote(name)} is empty or has spaces'
        )
    return Workspace(
        name=WorkspaceName(name),
        rank=decoded.priority,
        digests=frozenset(
            compute_key_digest(key.encode()) for key in decoded.api_keys
        ),
    )


def _is_word(key: str) -> bool:
    return key.split() == [key]
