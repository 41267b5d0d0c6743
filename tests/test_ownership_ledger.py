"""Idempotency keys, the records of their outcomes, and at-most-once calls."""

from random import Random

import attrs
import msgspec
import pytest
import trio

from ebonystream._timers import Timers
from ebonystream.backend import (
    ABANDONED,
    INTERRUPTED,
    NOT_SENT,
    Attempt,
    AttemptKind,
)
from ebonystream.call import Call, CallKind, CallResponse
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    SLICE_COUNT,
    Claim,
    KeyOwner,
    KeyTable,
    OwnershipTable,
    Span,
    compute_slice,
    get_timestamp,
    make_key,
    make_run_at_most_once,
    make_run_owned,
    parse_key,
)

NOW = 1_000_000
REFUSED = Attempt(AttemptKind.REFUSED)
RAN = Attempt(
    AttemptKind.ANSWERED,
    CallResponse(outcome=Outcome.RAN, status=200, headers=(), body=b'done'),
)


def make_call(key, *, body=b'x', deadline=1.0):
    return Call(
        customer='verein',
        route='book',
        service='bookings',
        kind=CallKind.AT_MOST_ONCE,
        method='POST',
        target='/bookings',
        headers=(),
        body=body,
        deadline=deadline,
        key=key,
        grace_period=30,
    )


def key_at(timestamp, seed=0):
    return make_key(timestamp, Random(seed))


KEYS = {
    'version 7': (b'018f4d2e-7c3a-7abc-8def-0123456789ab', True),
    'version 7 in upper case': (b'018F4D2E-7C3A-7ABC-8DEF-0123456789AB', True),
    'version 4': (b'018f4d2e-7c3a-4abc-8def-0123456789ab', False),
    'not a UUID': (b'booking-17', False),
    'empty': (b'', False),
    'not ASCII': (b'\xff\xfe', False),
}


@pytest.mark.parametrize(('value', 'is_valid'), KEYS.values(), ids=KEYS.keys())
def test_parse_key(value, is_valid):
    if is_valid:
        assert parse_key(value) == parse_key(value.lower())
        return
    with pytest.raises(EbonystreamError) as caught:
        parse_key(value)
    assert caught.value.kind is ErrorKind.KEY_MALFORMED


@pytest.mark.parametrize('seed', range(5))
def test_made_key_contains_timestamp(seed):
    key = key_at(NOW + seed, seed)
    assert parse_key(key.encode()) == key
    assert get_timestamp(key) == NOW + seed
    assert 0 <= compute_slice(key) < SLICE_COUNT


@attrs.define
class Backend:
    """Returns given results of attempts, and counts the calls that ran."""

    results: list
    run_count: int = 0
    duration: float = 0

    async def dispatch(self, call, tried):
        """Return the next result."""
        tried.add(len(tried))
        result = self.results.pop(0) if self.results else RAN
        if isinstance(result, ErrorKind):
            raise EbonystreamError(result)
        if result.kind in {AttemptKind.ANSWERED, AttemptKind.INTERRUPTED}:
            self.run_count += 1
            await trio.sleep(self.duration)
        return result


def make_owner(backend, nursery, *, is_local=True, max_bytes=100_000):
    ownership = OwnershipTable(retention_ms=1000)
    claimant = 'me' if is_local else 'other'
    spans = tuple(Span(n, NOW - 1000, NOW + 9000) for n in range(SLICE_COUNT))
    body = msgspec.json.encode(Claim(claimant, spans))
    ownership.fold(LogRecord(0, NOW, body))
    return KeyOwner(
        incarnation='me',
        ownership=ownership,
        key_table=KeyTable(max_bytes=max_bytes),
        dispatch=backend.dispatch,
        timers=Timers(epoch_offset=NOW / 1000),
        nursery=nursery,
    )


ATTEMPT_RESULTS = {
    'ran': ([RAN], Outcome.RAN, None, 1),
    'refused, then ran': ([REFUSED, RAN], Outcome.RAN, None, 1),
    'not sent, then ran': ([NOT_SENT, RAN], Outcome.RAN, None, 1),
    'connection lost: no retry': (
        [INTERRUPTED, RAN],
        Outcome.UNKNOWN,
        ErrorKind.OUTCOME_LOST,
        1,
    ),
    'abandoned: no retry': (
        [ABANDONED, RAN],
        Outcome.UNKNOWN,
        ErrorKind.OUTCOME_LOST,
        0,
    ),
    'refused by all servers': (
        [REFUSED] * 9,
        Outcome.NOT_RUN,
        ErrorKind.REFUSED_BY_BACKEND,
        0,
    ),
    'above the limit of the plan': (
        [ErrorKind.OVER_LIMIT],
        Outcome.NOT_RUN,
        ErrorKind.OVER_LIMIT,
        0,
    ),
}


@pytest.mark.parametrize(
    ('results', 'outcome', 'error', 'run_count'),
    ATTEMPT_RESULTS.values(),
    ids=ATTEMPT_RESULTS.keys(),
)
async def test_all_requests_with_a_key_get_same_response(
    results, outcome, error, run_count, autojump_clock
):
    backend = Backend(list(results))
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(backend, nursery))
        call = make_call(key_at(NOW))
        responses = [await run(call) for _ in range(3)]
    assert {response.outcome for response in responses} == {outcome}
    assert responses[0].error is error
    assert responses[0] == responses[1] == responses[2]
    assert backend.run_count == run_count


async def test_concurrent_requests_run_once(autojump_clock):
    backend = Backend([], duration=0.5)
    responses = []
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(backend, nursery))

        async def send():
            responses.append(await run(make_call(key_at(NOW))))

        for _ in range(5):
            nursery.start_soon(send)
    assert backend.run_count == 1
    assert [response.body for response in responses] == [b'done'] * 5


async def test_call_completes_after_caller_disconnects(autojump_clock):
    backend = Backend([], duration=0.5)
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(backend, nursery))
        with trio.move_on_after(0.1):
            await run(make_call(key_at(NOW)))
        retry = await run(make_call(key_at(NOW)))
    assert (retry.outcome, backend.run_count) == (Outcome.RAN, 1)


async def test_retry_gets_outcome_after_deadline(autojump_clock):
    """The deadline passes while the call runs; a retry gets the outcome."""
    backend = Backend([], duration=2)
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(backend, nursery))
        first = await run(make_call(key_at(NOW)))
        await trio.sleep(2)
        second = await run(make_call(key_at(NOW), deadline=9))
    assert first.error is ErrorKind.STILL_RUNNING
    assert first.outcome is Outcome.UNKNOWN
    assert second.outcome is Outcome.RAN
    assert backend.run_count == 1


REFUSALS = {
    'different request': (dict(body=b'y'), 0, ErrorKind.KEY_REUSED),
    'older than the retention': ({}, 100, ErrorKind.KEY_EXPIRED),
}


@pytest.mark.parametrize(
    ('changes', 'evicted_ms', 'error'), REFUSALS.values(), ids=REFUSALS.keys()
)
async def test_refused_retry(changes, evicted_ms, error, autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        run = make_run_owned(owner)
        await run(make_call(key_at(NOW)))
        owner.key_table.evict(NOW + evicted_ms)
        retry = await run(make_call(key_at(NOW), **changes))
    assert retry.error is error
    assert retry.outcome is Outcome.UNKNOWN
    assert backend.run_count == 1


async def test_call_above_memory_limit_does_not_run(autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(backend, nursery, max_bytes=700))
        await run(make_call(key_at(NOW, 1)))
        response = await run(make_call(key_at(NOW, 2)))
    assert response.error is ErrorKind.MEMORY_FULL
    assert response.outcome is Outcome.UNKNOWN
    assert backend.run_count == 1


OWNERS = {
    'owned here': (True, NOW, None),
    'owned by an unreachable host': (
        False,
        NOW,
        ErrorKind.OWNER_UNREACHABLE,
    ),
    'not owned yet': (True, NOW + 99_000, ErrorKind.KEY_UNOWNED),
    'older than the retention': (True, NOW - 99_000, ErrorKind.KEY_EXPIRED),
}


@pytest.mark.parametrize(
    ('is_local', 'timestamp', 'error'), OWNERS.values(), ids=OWNERS.keys()
)
async def test_only_owner_runs_key(is_local, timestamp, error, autojump_clock):
    backend = Backend([])

    async def forward(call, owner):
        raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)

    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery, is_local=is_local)
        owner.key_table.evict(NOW - 1000)
        run = make_run_at_most_once(
            owner=owner, run_owned=make_run_owned(owner), forward=forward
        )
        response = await run(make_call(key_at(timestamp)))
    assert response.error is error
    assert backend.run_count == (error is None)
    assert response.outcome is (Outcome.UNKNOWN if error else Outcome.RAN)


async def test_key_with_released_timestamp_does_not_run(autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        owner.released_from = NOW
        response = await make_run_owned(owner)(make_call(key_at(NOW)))
    assert response.error is ErrorKind.KEY_UNOWNED
    assert backend.run_count == 0


CLOSED = {
    'a new key never runs': (False, Outcome.NOT_RUN, 0),
    'a key that has run gets its response': (True, Outcome.RAN, 1),
}


@pytest.mark.parametrize(
    ('has_run', 'outcome', 'run_count'), CLOSED.values(), ids=CLOSED.keys()
)
async def test_request_after_owner_is_closed(
    has_run, outcome, run_count, autojump_clock
):
    """A call forwarded to the closed owner raised a RuntimeError.

    The nursery of its calls no longer accepts tasks then.
    """
    backend = Backend([])
    call = make_call(key_at(NOW))
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        if has_run:
            await make_run_owned(owner)(call)
        owner.close()
    responses = [await make_run_owned(owner)(call) for _ in range(2)]
    assert {response.outcome for response in responses} == {outcome}
    assert backend.run_count == run_count


RELEASES = {
    'no later timestamp has run': (0, NOW + 5, NOW + 5),
    'a later timestamp has run': (100, NOW + 5, NOW + 101),
}


@pytest.mark.parametrize(
    ('ahead_ms', 'since', 'released'), RELEASES.values(), ids=RELEASES.keys()
)
async def test_timestamp_that_has_run_is_not_released(
    ahead_ms, since, released, autojump_clock
):
    """A released timestamp with a key that ran let the key run on two hosts.

    Found by seed 0 of test_once_everywhere.
    """
    async with trio.open_nursery() as nursery:
        owner = make_owner(Backend([]), nursery)
        await make_run_owned(owner)(make_call(key_at(NOW + ahead_ms)))
        assert owner.release(since) == released
    assert owner.released_from == released


INVARIANTS = {
    'a key that has begun begins again': '_finished',
    'a key below the floor begins': 'floor',
}


@pytest.mark.parametrize('broken', INVARIANTS.values(), ids=INVARIANTS.keys())
def test_violated_invariants_are_asserted(broken):
    key_table = KeyTable(max_bytes=10_000)
    key = key_at(NOW)
    key_table.begin(key, b'')
    if broken == 'floor':
        key_table.entries.clear()
        key_table.evict(NOW + 1)
    with pytest.raises(AssertionError):
        key_table.begin(key, b'')
