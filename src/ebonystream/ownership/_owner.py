"""Run at-most-once calls on the host that owns their key."""

from collections.abc import Awaitable, Callable

import attrs
import trio
import xxhash

from ebonystream._ids import EpochMs, IdempotencyKey, Incarnation, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import (
    ATTEMPT_ERRORS,
    MAY_HAVE_RUN,
    Dispatch,
)
from ebonystream.call import Call, CallResponse, RunCall, make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ownership._key import compute_slice, get_timestamp
from ebonystream.ownership._key_table import KeyEntry, KeyTable
from ebonystream.ownership._ownership_table import OwnershipTable

MAX_RETRIES = 5
"""Upper bound on the retries of a call that did not run."""

ForwardToOwner = Callable[[Call, Incarnation], Awaitable[CallResponse]]
"""Sends a call to the owner of its key and returns the owner's response.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""


@attrs.define(kw_only=True)
class KeyOwner:
    """Ownership of keys on this host.

    Attributes:
        incarnation: Incarnation of this host.
        ownership: Owners of the timestamps of each slice.
        key_table: Keys that this host has begun, with their outcomes.
        dispatch: Makes one attempt at a backend server.
        timers: Clock of this process.
        nursery: Nursery of the calls that run; a call completes even if its
            caller disconnects.
        released_from: First timestamp that this incarnation has released;
            None before a release.
        closed: Whether no further key may begin.
    """

    incarnation: Incarnation
    ownership: OwnershipTable
    key_table: KeyTable
    dispatch: Dispatch
    timers: Timers
    nursery: trio.Nursery
    released_from: EpochMs | None = None
    closed: bool = False

    def find_owner(self, key: IdempotencyKey) -> Incarnation | None:
        """Return the owner of a key; None if not known."""
        timestamp = get_timestamp(key)
        owner = self.ownership.find_owner(compute_slice(key), timestamp)
        if owner == self.incarnation and self._is_released(timestamp):
            return None
        return owner

    def release(self, since: EpochMs) -> EpochMs:
        """Stop running keys from a timestamp on; return the first released.

        It can be later than requested: if a caller whose clock is ahead has
        already begun a key with a later timestamp here, no other host may ever
        own that timestamp.

        Args:
            since: First timestamp to release.
        """
        self.released_from = EpochMs(
            max(since, self.key_table.max_begun_timestamp + 1)
        )
        return self.released_from

    def close(self) -> None:
        """Reject all keys that have not begun.

        No other host owns the timestamps that were not released, so a key
        received later has not run and never will.
        """
        self.closed = True

    def _is_released(self, timestamp: EpochMs) -> bool:
        return (
            self.released_from is not None and timestamp >= self.released_from
        )


def make_run_owned(owner: KeyOwner) -> RunCall:
    """Return a function that runs a call if this host owns its key.

    All requests with one key get the same response. After a response with the
    outcome "not run" the key never runs.

    Args:
        owner: Ownership of keys on this host.
    """

    async def run(call: Call) -> CallResponse:
        key = get_key(call)
        if owner.find_owner(key) != owner.incarnation:
            return make_error_response(
                EbonystreamError(ErrorKind.KEY_UNOWNED, key)
            )
        try:
            entry = _find_or_begin(owner, call)
        except EbonystreamError as error:
            return make_error_response(error)
        with trio.move_on_at(call.deadline):
            await entry.done.wait()
        if entry.response is None:
            return make_error_response(
                EbonystreamError(ErrorKind.STILL_RUNNING, key)
            )
        return entry.response

    return run


def make_run_at_most_once(
    *, owner: KeyOwner, run_owned: RunCall, forward: ForwardToOwner
) -> RunCall:
    """Return a function that runs at-most-once calls, here or at the owner.

    Args:
        owner: Ownership of keys on this host.
        run_owned: Runs a call if this host owns its key.
        forward: Forwards a call to the host that owns its key.
    """

    async def run(call: Call) -> CallResponse:
        key = get_key(call)
        key_owner = owner.find_owner(key)
        if key_owner is None:
            kind = _explain_unowned(owner, get_timestamp(key))
            return make_error_response(EbonystreamError(kind, key))
        if key_owner == owner.incarnation:
            return await run_owned(call)
        try:
            return await forward(call, key_owner)
        except EbonystreamError as error:
            return make_error_response(error, certain=False)

    return run


def get_key(call: Call) -> IdempotencyKey:
    """Return the idempotency key of an at-most-once call."""
    assert call.key is not None, 'at-most-once call has no idempotency key'
    return call.key


def digest_call(call: Call) -> bytes:
    """Return a digest that tells apart different requests with the same key.

    Args:
        call: An at-most-once call.
    """
    digest = xxhash.xxh3_128()
    fields = (call.customer, call.route, call.method, call.target)
    for field in fields:
        digest.update(field.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()


def _explain_unowned(owner: KeyOwner, timestamp: EpochMs) -> ErrorKind:
    is_expired = timestamp < owner.key_table.min_timestamp
    return ErrorKind.KEY_EXPIRED if is_expired else ErrorKind.KEY_UNOWNED


def _find_or_begin(owner: KeyOwner, call: Call) -> KeyEntry:
    key = get_key(call)
    digest = digest_call(call)
    entry = owner.key_table.find(key, digest)
    if entry is None:
        if owner.closed:
            raise EbonystreamError(ErrorKind.LEAVING, key)
        entry = owner.key_table.begin(key, digest)
        owner.nursery.start_soon(_execute, owner, call, entry)
    return entry


async def _execute(owner: KeyOwner, call: Call, entry: KeyEntry) -> None:
    response = make_error_response(EbonystreamError(ErrorKind.INTERNAL))
    try:
        response = await _run_attempts(owner, call)
    finally:
        owner.key_table.finish(entry, response)


async def _run_attempts(owner: KeyOwner, call: Call) -> CallResponse:
    """Attempt a call until it ran or may have run, or retries are exhausted."""
    tried: set[ServerId] = set()
    last_error = ErrorKind.NO_BACKEND
    while len(tried) <= MAX_RETRIES:
        if owner.timers.now() >= call.deadline:
            return make_error_response(
                EbonystreamError(ErrorKind.DEADLINE_EXPIRED)
            )
        try:
            attempt = await owner.dispatch(call, tried)
        except EbonystreamError as error:
            return make_error_response(error)
        if attempt.response is not None:
            return attempt.response
        last_error = ATTEMPT_ERRORS[attempt.kind]
        if attempt.kind in MAY_HAVE_RUN:
            break
    return make_error_response(EbonystreamError(last_error))
