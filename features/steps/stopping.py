"""Steps for the graceful shutdown of an entry host, on an in-memory stream."""

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
CLOSE_HEADER = b'\r\nconnection: close\r\n'
SEND_AT_S = 1.0
GRACE_S = 1.0


@given('a call that takes {seconds:d} seconds')
def set_call(context, seconds):
    context.duration_s = seconds


@when('the host is asked to stop {seconds:g} s {order} the call is sent')
def stop(context, seconds, order):
    stop_at_s = SEND_AT_S + (seconds if order == 'after' else -seconds)
    clock = trio.testing.MockClock(autojump_threshold=0)
    context.received = trio.run(
        send_call, context.duration_s, stop_at_s, clock=clock
    )


async def send_call(duration_s, stop_at_s):
    """Send a call, stop the host and return the bytes that the caller got."""
    caller_stream, host_stream = trio.testing.memory_stream_pair()
    connections = OpenConnections()

    async def handle_request(request):
        await trio.sleep(duration_s)
        body = b'a whole rack'
        return CallResponse(
            outcome=Outcome.RAN, status=200, headers=(), body=body
        )

    async def serve():
        await serve_connection(
            host_stream,
            handle_request=handle_request,
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=connections,
        )

    async def stop_host():
        await trio.sleep(stop_at_s)
        connections.close_after_response = True
        await trio.sleep(GRACE_S)
        connections.close_idle()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        nursery.start_soon(stop_host)
        await trio.sleep(SEND_AT_S)
        await caller_stream.send_all(GET)
        return bytes(await caller_stream.receive_some())


@then('the caller gets the complete response')
def check_response(context):
    assert context.received.startswith(b'HTTP/1.1 200 OK\r\n'), context.received
    assert context.received.endswith(b'\r\n\r\na whole rack'), context.received


@then('the response closes the connection')
def check_closed(context):
    assert CLOSE_HEADER in context.received, context.received


@then('the response keeps the connection open')
def check_kept_open(context):
    assert CLOSE_HEADER not in context.received, context.received
