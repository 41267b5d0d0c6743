"""Runs calls that must run once: here where this host owns the key."""

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

MAX_REFUSALS = 5

Forward = Callable[[Call, Incarnation], Awaitable[Answer]]
"""Sends a call to the owner of its key and gives the owner's answer.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""


@attrs.define(kw_only=True)
class Owner:
    """What this incarnation needs to own keys.

    Attributes:
        incarnation: This incarnation.
        grants: Who owns what.
        ledger: What became of the keys run here.
        dispatch: Makes one attempt at a backend server.
        timers: Tells the time.
        running: Where calls run to their end, whatever their senders do.
        serves_until: The first label that this incarnation gave up.
        closed: Whether no key is begun any more.
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
        """Give the owner of a key, if one is known."""
        label = read_label(key)
        owner = self.grants.find_owner(find_slice(key), label)
        if owner == self.incarnation and self._gave_up(label):
            return None
        return owner

    def give_up(self, since: EpochMs) -> EpochMs:
        """Stop serving labels, and give the first one that is given up.

        A caller whose clock is ahead may have run a later label here
        already: nobody else may ever own that one.

        Args:
            since: The first label to give up, if none from it on has run.
        """
        self.serves_until = EpochMs(max(since, self.ledger.ceiling + 1))
        return self.serves_until

    def close(self) -> None:
        """Begin no further key, ever.

        Nobody else owns the labels that were not given up, so a key that
        comes later has not run and never will.
        """
        self.closed = True

    def _gave_up(self, label: EpochMs) -> bool:
        return self.serves_until is not None and label >= self.serves_until


def make_owned_run(owner: Owner) -> Run:
    """Make the function that runs a call whose key this host may own.

    Every sender of one key gets the same answer. Once the answer "not run"
    is given, the key can't run any more.

    Args:
        owner: The state of ownership on this host.
    """

    async def run(call: Call) -> Answer:
        key = get_key(call)
        if owner.find_owner(key) != owner.incarnation:
            return refuse(EbonystreamError(ErrorKind.KEY_UNOWNED, key))
        try:
            entry = _enter(owner, call)
        except EbonystreamError as error:
            return refuse(error)
        with trio.move_on_at(call.deadline):
            await entry.done.wait()
        if entry.answer is None:
            return refuse(EbonystreamError(ErrorKind.STILL_RUNNING, key))
        return entry.answer

    return run


def make_once_run(*, owner: Owner, run_owned: Run, forward: Forward) -> Run:
    """Make the function that runs calls that must run once.

    Args:
        owner: The state of ownership on this host.
        run_owned: Runs a call whose key this host owns.
        forward: Sends a call to another owner.
    """

    async def run(call: Call) -> Answer:
        key = get_key(call)
        holder = owner.find_owner(key)
        if holder is None:
            kind = _explain_unowned(owner, read_label(key))
            return refuse(EbonystreamError(kind, key))
        if holder == owner.incarnation:
            return await run_owned(call)
        try:
            return await forward(call, holder)
        except EbonystreamError as error:
            return refuse(error, certain=False)

    return run


def get_key(call: Call) -> IdempotencyKey:
    """Give the key of a call that must run once."""
    assert call.key is not None, 'a call that must run once has a key'
    return call.key


def digest_call(call: Call) -> bytes:
    """Tell one request from another under the same key.

    Args:
        call: A call that must run once.
    """
    digest = xxhash.xxh3_128()
    named = (call.customer, call.route, call.method, call.target)
    for text in named:
        digest.update(text.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return digest.digest()


def _explain_unowned(owner: Owner, label: EpochMs) -> ErrorKind:
    expired = label < owner.ledger.floor
    return ErrorKind.KEY_EXPIRED if expired else ErrorKind.KEY_UNOWNED


def _enter(owner: Owner, call: Call) -> Entry:
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
    answer = refuse(EbonystreamError(ErrorKind.INTERNAL))
    try:
        answer = await _attempt(owner, call)
    finally:
        owner.ledger.finish(entry, answer)


async def _attempt(owner: Owner, call: Call) -> Answer:
    """Attempt a call until it ran, may have run, or surely did not."""
    tried: set[ServerId] = set()
    last = ErrorKind.NO_BACKEND
    while len(tried) <= MAX_REFUSALS:
        if owner.timers.now() >= call.deadline:
            return refuse(EbonystreamError(ErrorKind.DEADLINE_EXPIRED))
        try:
            attempt = await owner.dispatch(call, tried)
        except EbonystreamError as error:
            return refuse(error)
        if attempt.answer is not None:
            return attempt.answer
        last = ATTEMPT_ERRORS[attempt.kind]
        if attempt.kind in MAY_HAVE_RUN:
            break
    return refuse(EbonystreamError(last))
