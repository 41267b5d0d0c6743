"""One whole session of a caller, byte for byte.

After a change that is meant, regenerate by `make golden` and read the
difference.
"""

import os
from pathlib import Path
from random import Random

import msgspec
import trio
import trio.testing

from ebonystream._timers import Timers
from ebonystream.backend import Attempt, AttemptKind, make_idempotent_run
from ebonystream.call import (
    CallKind,
    CallResponse,
    make_admit_request,
    make_handle_request,
)
from ebonystream.caller import serve_connection
from ebonystream.configuration import PlanLists, make_plan_table
from ebonystream.errors import Outcome
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits, OpenConnections
from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    SLICE_COUNT,
    Claim,
    KeyOwner,
    KeyTable,
    OwnershipTable,
    Span,
    make_handle_key_requests,
    make_issue_key,
    make_key,
    make_run_at_most_once,
    make_run_owned,
    parse_key,
)
from standins.demoplan import make_lists

GOLDEN = Path(__file__).parent / 'golden' / 'session.txt'
EPOCH_S = 1_800_000_000
NOW_MS = EPOCH_S * 1000
LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=2000, body_bytes=100),
    receive_timeout=1,
    idle_timeout=60,
)


def spell(method, target, *headers, body=b''):
    lines = [f'{method} {target} HTTP/1.1', 'Host: x', *headers]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def list_requests():
    """Give what the caller sends, one after another."""
    verein = 'X-Customer: verein'
    key = make_key(NOW_MS, Random(1))
    late = make_key(NOW_MS + 60_000_000, Random(2))
    old = make_key(NOW_MS - 60_000_000, Random(3))
    book = ('POST', '/bookings', verein)
    return [
        spell('GET', '/racks/7', verein),
        spell('GET', '/racks/7', 'X-Customer: nobody'),
        spell('GET', '/racks/7'),
        spell('GET', '/elsewhere', verein),
        spell('GET', '/racks/7', verein, 'X-Timeout-Ms: soon'),
        spell('GET', '/racks/7', verein, 'X-Timeout-Ms: 0'),
        spell(*book),
        spell(*book, 'Idempotency-Key: 17'),
        spell(*book, f'Idempotency-Key: {key}', body=b'rack 7'),
        spell(*book, f'Idempotency-Key: {key}', body=b'rack 7'),
        spell(*book, f'Idempotency-Key: {key}', body=b'rack 8'),
        spell(*book, f'Idempotency-Key: {late}'),
        spell(*book, f'Idempotency-Key: {old}'),
        spell('GET', '/-/idempotency-key'),
        spell(*book, body=b'x' * 101),
    ]


async def dispatch(call, tried):
    """Answer as a backend server that takes 10 ms."""
    await trio.sleep(0.01)
    body = b'%b by %b' % (call.target.encode(), call.method.encode())
    answer = CallResponse(
        outcome=Outcome.RAN, status=200, headers=(), body=body
    )
    return Attempt(AttemptKind.ANSWERED, answer)


def make_owner(nursery, timers):
    grants = OwnershipTable(retention_ms=600_000)
    spans = tuple(
        Span(number, NOW_MS - 60_000, NOW_MS + 300_000)
        for number in range(SLICE_COUNT)
    )
    body = msgspec.json.encode(Claim('me', spans))
    grants.fold(LogRecord(0, NOW_MS, body))
    ledger = KeyTable(max_bytes=100_000)
    ledger.evict(NOW_MS - 600_000)
    return KeyOwner(
        incarnation='me',
        ownership=grants,
        key_table=ledger,
        dispatch=dispatch,
        timers=timers,
        nursery=nursery,
    )


def make_serve(nursery, timers):
    owner = make_owner(nursery, timers)
    run_once = make_run_at_most_once(
        owner=owner, run_owned=make_run_owned(owner), forward=None
    )
    run_idempotent = make_idempotent_run(
        dispatch=dispatch,
        timers=timers,
        get_max_retries=lambda call: 0,
        try_acquire_retry=bool,
    )

    async def look_up(call):
        return await run_idempotent(call, set())

    plans = make_plan_table(PlanLists.model_validate(make_lists()))
    serve = make_handle_request(
        admit=make_admit_request(get_plans=lambda: plans, parse_key=parse_key),
        runs={CallKind.AT_MOST_ONCE: run_once, CallKind.IDEMPOTENT: look_up},
    )
    issue = make_issue_key(owner=owner, random=Random(4))
    return make_handle_key_requests(
        handle_request=serve, issue_key=issue, owner=owner
    )


async def run_session():
    """Send each request, and write down both sides."""
    ours, theirs = trio.testing.memory_stream_pair()
    timers = Timers(epoch_offset=EPOCH_S - trio.current_time())
    lines = []
    async with trio.open_nursery() as nursery:

        async def serve():
            await serve_connection(
                theirs,
                handle_request=make_serve(nursery, timers),
                limits=LIMITS,
                timers=timers,
                connections=OpenConnections(),
            )

        nursery.start_soon(serve)
        for request in list_requests():
            await ours.send_all(request)
            await trio.sleep(0.1)
            answer = await ours.receive_some()
            lines.extend((b'>>>', request, b'<<<', answer))
        nursery.cancel_scope.cancel()
    return b'\n'.join(lines) + b'\n'


async def test_the_session_is_the_same_byte_for_byte(autojump_clock):
    session = await run_session()
    if os.environ.get('GOLDEN') == 'regenerate':
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_bytes(session)
    assert session == GOLDEN.read_bytes()
