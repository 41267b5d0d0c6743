"""The owner's memory, and runs of calls that must run once."""

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
from ebonystream.call import Answer, Call, CallKind
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    SLICES,
    Claim,
    Grants,
    Ledger,
    Owner,
    Span,
    find_slice,
    make_key,
    make_once_run,
    make_owned_run,
    parse_key,
    read_label,
)

NOW = 1_000_000
REFUSED = Attempt(AttemptKind.REFUSED)
RAN = Attempt(
    AttemptKind.ANSWERED,
    Answer(outcome=Outcome.RAN, status=200, headers=(), body=b'done'),
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
        patience=30,
    )


def key_at(label, seed=0):
    return make_key(label, Random(seed))


KEYS = {
    'a UUIDv7': (b'018f4d2e-7c3a-7abc-8def-0123456789ab', True),
    'in capitals': (b'018F4D2E-7C3A-7ABC-8DEF-0123456789AB', True),
    'a UUIDv4': (b'018f4d2e-7c3a-4abc-8def-0123456789ab', False),
    'not a UUID': (b'booking-17', False),
    'empty': (b'', False),
    'not ASCII': (b'\xff\xfe', False),
}


@pytest.mark.parametrize(('sent', 'good'), KEYS.values(), ids=KEYS.keys())
def test_keys(sent, good):
    if good:
        assert parse_key(sent) == parse_key(sent.lower())
        return
    with pytest.raises(EbonystreamError) as caught:
        parse_key(sent)
    assert caught.value.kind is ErrorKind.KEY_MALFORMED


@pytest.mark.parametrize('seed', range(5))
def test_a_made_key_carries_its_label(seed):
    key = key_at(NOW + seed, seed)
    assert parse_key(key.encode()) == key
    assert read_label(key) == NOW + seed
    assert 0 <= find_slice(key) < SLICES


@attrs.define
class Backend:
    """Ends attempts as it is told, and counts those that ran."""

    ends: list
    ran: int = 0
    takes: float = 0

    async def dispatch(self, call, tried):
        """End the next attempt."""
        tried.add(len(tried))
        end = self.ends.pop(0) if self.ends else RAN
        if isinstance(end, ErrorKind):
            raise EbonystreamError(end)
        if end.kind in {AttemptKind.ANSWERED, AttemptKind.INTERRUPTED}:
            self.ran += 1
            await trio.sleep(self.takes)
        return end


def make_owner(backend, nursery, *, mine=True, max_bytes=100_000):
    grants = Grants(keep_ms=1000)
    holder = 'me' if mine else 'other'
    spans = tuple(Span(n, NOW - 1000, NOW + 9000) for n in range(SLICES))
    body = msgspec.json.encode(Claim(holder, spans))
    grants.fold(LogRecord(0, NOW, body))
    return Owner(
        incarnation='me',
        grants=grants,
        ledger=Ledger(max_bytes=max_bytes),
        dispatch=backend.dispatch,
        timers=Timers(epoch_offset=NOW / 1000),
        running=nursery,
    )


ENDS = {
    'ran': ([RAN], Outcome.RAN, None, 1),
    'refused, then ran': ([REFUSED, RAN], Outcome.RAN, None, 1),
    'no connection, then ran': ([NOT_SENT, RAN], Outcome.RAN, None, 1),
    'cut: never tried again': (
        [INTERRUPTED, RAN],
        Outcome.UNKNOWN,
        ErrorKind.OUTCOME_LOST,
        1,
    ),
    'abandoned: never tried again': (
        [ABANDONED, RAN],
        Outcome.UNKNOWN,
        ErrorKind.OUTCOME_LOST,
        0,
    ),
    'all refuse': (
        [REFUSED] * 9,
        Outcome.NOT_RUN,
        ErrorKind.REFUSED_BY_BACKEND,
        0,
    ),
    'no room': (
        [ErrorKind.OVER_LIMIT],
        Outcome.NOT_RUN,
        ErrorKind.OVER_LIMIT,
        0,
    ),
}


@pytest.mark.parametrize(
    ('ends', 'outcome', 'error', 'ran'), ENDS.values(), ids=ENDS.keys()
)
async def test_every_send_of_a_key_gets_the_same_answer(
    ends, outcome, error, ran, autojump_clock
):
    backend = Backend(list(ends))
    async with trio.open_nursery() as nursery:
        run = make_owned_run(make_owner(backend, nursery))
        call = make_call(key_at(NOW))
        answers = [await run(call) for _ in range(3)]
    assert {answer.outcome for answer in answers} == {outcome}
    assert answers[0].error is error
    assert answers[0] == answers[1] == answers[2]
    assert backend.ran == ran


async def test_sends_at_the_same_time_run_once(autojump_clock):
    backend = Backend([], takes=0.5)
    answers = []
    async with trio.open_nursery() as nursery:
        run = make_owned_run(make_owner(backend, nursery))

        async def send():
            answers.append(await run(make_call(key_at(NOW))))

        for _ in range(5):
            nursery.start_soon(send)
    assert backend.ran == 1
    assert [answer.body for answer in answers] == [b'done'] * 5


async def test_a_caller_that_leaves_cancels_nothing(autojump_clock):
    backend = Backend([], takes=0.5)
    async with trio.open_nursery() as nursery:
        run = make_owned_run(make_owner(backend, nursery))
        with trio.move_on_after(0.1):
            await run(make_call(key_at(NOW)))
        again = await run(make_call(key_at(NOW)))
    assert (again.outcome, backend.ran) == (Outcome.RAN, 1)


async def test_late_outcomes_are_learned(autojump_clock):
    """The deadline passes while the call runs; a second send learns more."""
    backend = Backend([], takes=2)
    async with trio.open_nursery() as nursery:
        run = make_owned_run(make_owner(backend, nursery))
        first = await run(make_call(key_at(NOW)))
        await trio.sleep(2)
        second = await run(make_call(key_at(NOW), deadline=9))
    assert first.error is ErrorKind.STILL_RUNNING
    assert first.outcome is Outcome.UNKNOWN
    assert second.outcome is Outcome.RAN
    assert backend.ran == 1


REFUSALS = {
    'another request': (dict(body=b'y'), 0, ErrorKind.KEY_REUSED),
    'older than the window': ({}, 100, ErrorKind.KEY_EXPIRED),
}


@pytest.mark.parametrize(
    ('changes', 'forgotten', 'error'), REFUSALS.values(), ids=REFUSALS.keys()
)
async def test_refused_second_sends(changes, forgotten, error, autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        run = make_owned_run(owner)
        await run(make_call(key_at(NOW)))
        owner.ledger.forget(NOW + forgotten)
        again = await run(make_call(key_at(NOW), **changes))
    assert again.error is error
    assert again.outcome is Outcome.UNKNOWN
    assert backend.ran == 1


async def test_no_room_to_remember_is_unknown_and_runs_nothing(autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        run = make_owned_run(make_owner(backend, nursery, max_bytes=700))
        await run(make_call(key_at(NOW, 1)))
        answer = await run(make_call(key_at(NOW, 2)))
    assert answer.error is ErrorKind.MEMORY_FULL
    assert answer.outcome is Outcome.UNKNOWN
    assert backend.ran == 1


OWNERS = {
    'owned here': (True, NOW, None),
    'owned elsewhere and unreachable': (
        False,
        NOW,
        ErrorKind.OWNER_UNREACHABLE,
    ),
    'owned by nobody yet': (True, NOW + 99_000, ErrorKind.KEY_UNOWNED),
    'too old': (True, NOW - 99_000, ErrorKind.KEY_EXPIRED),
}


@pytest.mark.parametrize(
    ('mine', 'label', 'error'), OWNERS.values(), ids=OWNERS.keys()
)
async def test_only_the_owner_runs_a_key(mine, label, error, autojump_clock):
    backend = Backend([])

    async def forward(call, owner):
        raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)

    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery, mine=mine)
        owner.ledger.forget(NOW - 1000)
        run = make_once_run(
            owner=owner, run_owned=make_owned_run(owner), forward=forward
        )
        answer = await run(make_call(key_at(label)))
    assert answer.error is error
    assert backend.ran == (error is None)
    assert answer.outcome is (Outcome.UNKNOWN if error else Outcome.RAN)


async def test_what_was_given_up_is_not_run(autojump_clock):
    backend = Backend([])
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        owner.serves_until = NOW
        answer = await make_owned_run(owner)(make_call(key_at(NOW)))
    assert answer.error is ErrorKind.KEY_UNOWNED
    assert backend.ran == 0


CLOSED = {
    'a key that comes late never runs': (False, Outcome.NOT_RUN, 0),
    'a key that ran before keeps its answer': (True, Outcome.RAN, 1),
}


@pytest.mark.parametrize(
    ('before', 'outcome', 'ran'), CLOSED.values(), ids=CLOSED.keys()
)
async def test_what_comes_after_the_last_call_ended(
    before, outcome, ran, autojump_clock
):
    """A peer that still knew the owner ended it with a RuntimeError."""
    backend = Backend([])
    call = make_call(key_at(NOW))
    async with trio.open_nursery() as nursery:
        owner = make_owner(backend, nursery)
        if before:
            await make_owned_run(owner)(call)
        owner.close()
    answers = [await make_owned_run(owner)(call) for _ in range(2)]
    assert {answer.outcome for answer in answers} == {outcome}
    assert backend.ran == ran


GIVEN_UP = {
    'nothing ran ahead': (0, NOW + 5, NOW + 5),
    'a later label ran already': (100, NOW + 5, NOW + 101),
}


@pytest.mark.parametrize(
    ('ahead', 'since', 'given_up'), GIVEN_UP.values(), ids=GIVEN_UP.keys()
)
async def test_a_label_that_ran_is_never_given_up(
    ahead, since, given_up, autojump_clock
):
    """Found by seed 0 of test_once_everywhere: a key ran on two hosts."""
    async with trio.open_nursery() as nursery:
        owner = make_owner(Backend([]), nursery)
        await make_owned_run(owner)(make_call(key_at(NOW + ahead)))
        assert owner.give_up(since) == given_up
    assert owner.serves_until == given_up


MUTATIONS = {
    'a ledger that forgets what it may still begin': '_finished',
    'a floor that falls': 'floor',
}


@pytest.mark.parametrize('broken', MUTATIONS.values(), ids=MUTATIONS.keys())
def test_the_ledger_asserts_its_rules(broken):
    ledger = Ledger(max_bytes=10_000)
    key = key_at(NOW)
    ledger.begin(key, b'')
    if broken == 'floor':
        ledger.entries.clear()
        ledger.forget(NOW + 1)
    with pytest.raises(AssertionError):
        ledger.begin(key, b'')
