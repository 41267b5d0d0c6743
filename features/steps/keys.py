"""Steps for calls with an idempotency key, on one key owner in virtual time."""

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

RESPONSE = CallResponse(
    outcome=Outcome.RAN, status=200, headers=(), body=b'booked'
)
ATTEMPTS = {
    'answers': Attempt(AttemptKind.ANSWERED, RESPONSE),
    'refuses': Attempt(AttemptKind.REFUSED),
    'runs and interrupts': INTERRUPTED,
}
SEQUENTIAL_DELAY_S = 1.0
SERVICE_TIME_S = 0.2


@given('a backend server that {action} the call')
def set_backend(context, action):
    context.attempt = ATTEMPTS[action]
    context.runs = 0
    context.responses = []


@when('the booking is sent {sends:d} times with one key {order}')
def send(context, sends, order):
    delay_s = SEQUENTIAL_DELAY_S if order == 'sequentially' else 0.0
    trio.run(
        send_all,
        context,
        sends,
        delay_s,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )


async def send_all(context, sends, delay_s):
    async with trio.open_nursery() as nursery:
        run_owned = make_run_owned(make_owner(context, nursery))
        key = make_key(read_epoch_ms(), Random(0))
        for _ in range(sends):
            nursery.start_soon(send_one, context, run_owned, key)
            await trio.sleep(delay_s)


async def send_one(context, run_owned, key):
    response = await run_owned(make_booking(key, timeout_s=9))
    context.responses.append(response)


def make_owner(context, nursery):
    now_ms = read_epoch_ms()
    ownership = OwnershipTable(retention_ms=1000)
    spans = tuple(
        Span(number, now_ms - 1000, now_ms + 60_000)
        for number in range(SLICE_COUNT)
    )
    claim = msgspec.json.encode(Claim('me', spans))
    ownership.fold(LogRecord(0, now_ms, claim))

    async def dispatch(call, tried):
        tried.add(len(tried))
        context.runs += context.attempt.kind is not AttemptKind.REFUSED
        await trio.sleep(SERVICE_TIME_S)
        return context.attempt

    return KeyOwner(
        incarnation='me',
        ownership=ownership,
        key_table=KeyTable(max_bytes=9999),
        dispatch=dispatch,
        timers=Timers(epoch_offset=EPOCH_S),
        nursery=nursery,
    )


@then('the backend server ran the call {runs:d} times')
def check_runs(context, runs):
    assert context.runs == runs, context.runs


@then('each response has the outcome "{outcome}"')
def check_outcomes(context, outcome):
    outcomes = {response.outcome.value for response in context.responses}
    assert outcomes == {outcome}, outcomes
    assert len({response.body for response in context.responses}) == 1
