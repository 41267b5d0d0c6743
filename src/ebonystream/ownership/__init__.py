"""Ownership of idempotency keys: each key is run at most once, by its owner."""

from ebonystream.ownership._claims import (
    ListSlices,
    keep_claims,
    plan_claims,
    release_slices,
)
from ebonystream.ownership._forwarding import (
    AskOwner,
    FindHost,
    make_forward,
    make_owner_answer,
)
from ebonystream.ownership._grants import Grants
from ebonystream.ownership._issue import (
    IssueKey,
    make_key_issue,
    serve_keys,
)
from ebonystream.ownership._key import (
    SLICES,
    find_slice,
    make_key,
    parse_key,
    read_label,
)
from ebonystream.ownership._ledger import Entry, EntryState, Ledger
from ebonystream.ownership._owner import (
    Forward,
    Owner,
    make_once_run,
    make_owned_run,
)
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
    'SLICES',
    'AskOwner',
    'Claim',
    'Entry',
    'EntryState',
    'FindHost',
    'Forward',
    'Grants',
    'IssueKey',
    'KeysRecord',
    'Ledger',
    'ListSlices',
    'Owner',
    'Release',
    'Span',
    'find_slice',
    'keep_claims',
    'make_forward',
    'make_key',
    'make_key_issue',
    'make_once_run',
    'make_owned_run',
    'make_owner_answer',
    'parse_key',
    'plan_claims',
    'read_label',
    'release_slices',
    'serve_keys',
)
