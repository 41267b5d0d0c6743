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
from ebonystream.call import Answer, Call, Run, refuse
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ownership._grants import Grants
from ebonystream.ownership._key import find_slice, read_label
from ebonystream.ownership._ledger import Entry, Ledger

MAX_RETRIES = 5
"""Upper bound on the retries of a call that did not run."""

Forward = Callable[[Call, Incarnation], Awaitable[Answer]]
"""Sends a call to the owner of its key and returns the owner's response.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""


@attrs.define(kw_only=True)
class Owner:
    """Ownership of keys on this host.

    Attributes:
        incarnation: Incarnation of this host.
        grants: Owners of the timestamps of each slice.
        ledger: Keys that this host has begun, with their outcomes.
        dispatch: Makes one attempt at a backend server.
        timers: Clock of this process.
        running: Nursery of the calls that run; a call completes even if its
            caller disconnects.
        serves_until: First timestamp that this incarnation has released; None
            before a release.
        closed: Whether no further key may begin.
    """

    incarnation: Incarnation
    grants: Grants
    ledger: Ledger
    dispatch: Dispatch
    timers: Timers
    running: trio.Nursery
    serves_until: EpochMs | None = None
    closed: bool = False

    def find_owner(self, key: IdempotencyKey) -> Incarnation | None:
        """Return the owner of a key; None if not known."""
        label = read_label(key)
        owner = self.grants.find_owner(find_slice(key), label)
        if owner == self.incarnation and self._is_released(label):
            return None
        return owner

    def give_up(self, since: EpochMs) -> EpochMs:
        """Stop running keys from a timestamp on; return the first released.

        It can be later than requested: if a caller whose clock is ahead has
        already begun a key with a later timestamp here, no other host may ever
        own that timestamp.

        Args:
            since: First timestamp to release.
        """
        self.serves_until = EpochMs(max(since, self.ledger.ceiling + 1))
        return self.serves_until

    def close(self) -> None:
        """Reject all keys that have not begun.

        No other host owns the timestamps that were not released, so a key
        received later has not run and never will.
        """
        self.closed = True

    def _is_released(self, label: EpochMs) -> bool:
        return self.serves_until is not None and label >= self.serves_until


def make_owned_run(owner: Owner) -> Run:
    """Return a function that runs a call if this host owns its key.

    All requests with one key get the same response. After a response with the
    outcome "not run" the key never runs.

    Args:
        owner: Ownership of keys on this host.
    """

    async def run(call: Call) -> Answer:
        key = get_key(call)
        if owner.find_owner(key) != owner.incarnation:
            return refuse(EbonystreamError(ErrorKind.KEY_UNOWNED, key))
        try:
            entry = _find_or_begin(owner, call)
        except EbonystreamError as error:
            return refuse(error)
        with trio.move_on_at(call.deadline):
            await entry.done.wait()
        if entry.answer is None:
            return refuse(EbonystreamError(ErrorKind.STILL_RUNNING, key))
        return entry.answer

    return run


def make_once_run(*, owner: Owner, run_owned: Run, forward: Forward) -> Run:
    """Return a function that runs at-most-once calls, here or at the owner.

    Args:
        owner: Ownership of keys on this host.
        run_owned: Runs a call if this host owns its key.
        forward: Forwards a call to the host that owns its key.
    """

    async def run(call: Call) -> Answer:
        key = get_key(call)
        key_owner = owner.find_owner(key)
        if key_owner is None:
            kind = _explain_unowned(owner, read_label(key))
            return refuse(EbonystreamError(kind, key))
        if key_owner == owner.incarnation:
            return await run_owned(call)
        try:
            return await forward(call, key_owner)
        except EbonystreamError as error:
            return refuse(error, certain=False)

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


def _explain_unowned(owner: Owner, label: EpochMs) -> ErrorKind:
    is_expired = label < owner.ledger.floor
    return ErrorKind.KEY_EXPIRED if is_expired else ErrorKind.KEY_UNOWNED


def _find_or_begin(owner: Owner, call: Call) -> Entry:
    key = get_key(call)
    digest = digest_call(call)
    entry = owner.ledger.find(key, digest)
    if entry is None:
        if owner.closed:
            raise EbonystreamError(ErrorKind.LEAVING, key)
        entry = owner.ledger.begin(key, digest)
        owner.running.start_soon(_execute, owner, call, entry)
    return entry


async def _execute(owner: Owner, call: Call, entry: Entry) -> None:
    response = refuse(EbonystreamError(ErrorKind.INTERNAL))
    try:
        response = await _run_attempts(owner, call)
    finally:
        owner.ledger.finish(entry, response)


async def _run_attempts(owner: Owner, call: Call) -> Answer:
    """Attempt a call until it ran or may have run, or retries are exhausted."""
    tried: set[ServerId] = set()
    last_error = ErrorKind.NO_BACKEND
    while len(tried) <= MAX_RETRIES:
        if owner.timers.now() >= call.deadline:
            return refuse(EbonystreamError(ErrorKind.DEADLINE_EXPIRED))
        try:
            attempt = await owner.dispatch(call, tried)
        except EbonystreamError as error:
            return refuse(error)
        if attempt.answer is not None:
            return attempt.answer
        last_error = ATTEMPT_ERRORS[attempt.kind]
        if attempt.kind in MAY_HAVE_RUN:
            break
    return refuse(EbonystreamError(last_error))
