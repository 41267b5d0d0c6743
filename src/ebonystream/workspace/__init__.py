"""Workspaces of clients, their keys, and the admission of requests."""

from ebonystream.workspace._admission import (
    Admission,
    Verdict,
    decide_admission,
    review_admission,
)
from ebonystream.workspace._credential import (
    MALFORMED_CREDENTIAL,
    NO_CREDENTIAL,
    Access,
    Credential,
    CredentialState,
)
from ebonystream.workspace._index import WorkspaceIndex
from ebonystream.workspace._workspace import (
    Workspace,
    compute_key_digest,
    find_shared_key,
)

__all__ = (
    'MALFORMED_CREDENTIAL',
    'NO_CREDENTIAL',
    'Access',
    'Admission',
    'Credential',
    'CredentialState',
    'Verdict',
    'Workspace',
    'WorkspaceIndex',
    'compute_key_digest',
    'decide_admission',
    'find_shared_key',
    'review_admission',
)
