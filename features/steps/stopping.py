"""Steps for entry hosts that stop, on a connection in memory."""

import trio
import trio.testing
from behave import given, then, when

from ebonystream._timers import Timers
from ebonystream.call import CallResponse
from ebonystream.caller import serve_connection
from ebonystream.errors import Outcome
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits, OpenConnections

LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=999, body_bytes=99),
    receive_timeout=1,
    idle_timeout=5,
)
GET = b'GET /racks/7 HTTP/1.1\r\nHost: entry\r\n\r\n'
CLOSE = b'\r\nconnection: close\r\n'
SEND_AT = 1.0
GRACE = 1.0


@given('a call that takes {seconds:d} seconds')
def set_call(context, seconds):
    context.seconds = seconds


@when('the host is asked to stop {after:g} s {side} the call is sent')
def stop(context, after, side):
    at = SEND_AT + (after if side == 'after' else -after)
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.came = trio.run(converse, context.seconds, at, clock=clock)


async def converse(seconds, stop_at):
    """Send a call and stop the host; give what the caller got."""
    ours, theirs = trio.testing.memory_stream_pair()
    connections = OpenConnections()

    async def serve(received):
        await trio.sleep(seconds)
        body = b'a whole rack'
        return CallResponse(
            outcome=Outcome.RAN, status=200, headers=(), body=body
        )

    async def answer():
        await serve_connection(
            theirs,
            handle_request=serve,
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=connections,
        )

    async def stop_host():
        await trio.sleep(stop_at)
        connections.close_after_response = True
        await trio.sleep(GRACE)
        connections.close_idle()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        nursery.start_soon(stop_host)
        await trio.sleep(SEND_AT)
        await ours.send_all(GET)
        return bytes(await ours.receive_some())


@then('the caller gets the whole answer')
def check_answer(context):
    assert context.came.startswith(b'HTTP/1.1 200 OK\r\n'), context.came
    assert context.came.endswith(b'\r\n\r\na whole rack'), context.came


@then('the answer closes the connection')
def check_closed(context):
    assert CLOSE in context.came, context.came


@then('the answer keeps the connection')
def check_kept(context):
    assert CLOSE not in context.came, context.came
