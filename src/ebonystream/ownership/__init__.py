"""Ownership of idempotency keys: each key is run at most once, by its owner."""

from ebonystream.ownership._claims import (
    ListSlices,
    maintain_claims,
    plan_claims,
    release_slices,
)
from ebonystream.ownership._forwarding import (
    FindHost,
    SendToOwner,
    make_forward_to_owner,
    make_handle_forwarded_call,
)
from ebonystream.ownership._issue import (
    IssueKey,
    make_handle_key_requests,
    make_issue_key,
)
from ebonystream.ownership._key import (
    SLICE_COUNT,
    compute_slice,
    get_timestamp,
    make_key,
    parse_key,
)
from ebonystream.ownership._key_table import KeyEntry, KeyState, KeyTable
from ebonystream.ownership._owner import (
    ForwardToOwner,
    KeyOwner,
    make_run_at_most_once,
    make_run_owned,
)
from ebonystream.ownership._ownership_table import OwnershipTable
from ebonystream.ownership._records import (
    MAX_AHEAD_MS,
    MAX_BACK_MS,
    Claim,
    KeysRecord,
    Release,
    Span,
)

__all__ = (
    'MAX_AHEAD_MS',
    'MAX_BACK_MS',
    'SLICE_COUNT',
    'SendToOwner',
    'Claim',
    'KeyEntry',
    'KeyState',
    'FindHost',
    'ForwardToOwner',
    'OwnershipTable',
    'IssueKey',
    'KeysRecord',
    'KeyTable',
    'ListSlices',
    'KeyOwner',
    'Release',
    'Span',
    'compute_slice',
    'maintain_claims',
    'make_forward_to_owner',
    'make_key',
    'make_issue_key',
    'make_run_at_most_once',
    'make_run_owned',
    'make_handle_forwarded_call',
    'parse_key',
    'plan_claims',
    'get_timestamp',
    'release_slices',
    'make_handle_key_requests',
)
