"""Steps for calls that must run once, on one owner and virtual time."""

from random import Random

import msgspec
import trio
import trio.testing
from behave import given, then, when

from ebonystream._timers import Timers
from ebonystream.backend import INTERRUPTED, Attempt, AttemptKind
from ebonystream.call import CallResponse
from ebonystream.errors import Outcome
from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    SLICE_COUNT,
    Claim,
    KeyOwner,
    KeyTable,
    OwnershipTable,
    Span,
    make_key,
    make_run_owned,
)
from standins.keyhosts import EPOCH_S, make_booking, read_epoch_ms

DONE = CallResponse(outcome=Outcome.RAN, status=200, headers=(), body=b'booked')
ENDS = {
    'answers': Attempt(AttemptKind.ANSWERED, DONE),
    'refuses': Attempt(AttemptKind.REFUSED),
    'runs and cuts off': INTERRUPTED,
}


@given('a backend server that {ends} the call')
def set_backend(context, ends):
    context.attempt = ENDS[ends]
    context.ran = 0
    context.answers = []


@when('the booking is sent {sends:d} times under one key {how}')
def send(context, sends, how):
    pause = 1.0 if how == 'in turn' else 0.0
    trio.run(
        send_all,
        context,
        sends,
        pause,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def send_all(context, sends, pause):
    async with trio.open_nursery() as nursery:
        run = make_run_owned(make_owner(context, nursery))
        key = make_key(read_epoch_ms(), Random(0))
        for _ in range(sends):
            nursery.start_soon(send_one, context, run, key)
            await trio.sleep(pause)


async def send_one(context, run, key):
    context.answers.append(await run(make_booking(key, timeout_s=9)))


def make_owner(context, nursery):
    now = read_epoch_ms()
    grants = OwnershipTable(retention_ms=1000)
    spans = tuple(Span(n, now - 1000, now + 60_000) for n in range(SLICE_COUNT))
    claim = msgspec.json.encode(Claim('me', spans))
    grants.fold(LogRecord(0, now, claim))

    async def dispatch(call, tried):
        tried.add(len(tried))
        context.ran += context.attempt.kind is not AttemptKind.REFUSED
        await trio.sleep(0.2)
        return context.attempt

    return KeyOwner(
        incarnation='me',
        ownership=grants,
        key_table=KeyTable(max_bytes=9999),
        dispatch=dispatch,
        timers=Timers(epoch_offset=EPOCH_S),
        nursery=nursery,
    )


@then('the backend server ran it {runs:d} times')
def check_runs(context, runs):
    assert context.ran == runs, context.ran


@then('each send reads the outcome "{outcome}"')
def check_outcomes(context, outcome):
    told = {answer.outcome.value for answer in context.answers}
    assert told == {outcome}, told
    assert len({answer.body for answer in context.answers}) == 1
