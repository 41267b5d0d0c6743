"""Responses are matched to their requests; other messages are dropped."""

from random import Random

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.peer import (
    DropReason,
    Envelope,
    Exchange,
    ExchangeLimits,
    ForwardedCall,
    ForwardedResponse,
    Handlers,
    Heartbeat,
    PendingRequests,
    SnapshotRequest,
    SnapshotResponse,
    decode_frame,
    encode_frame,
)
from standins.network import Faults, Network

MAX_BYTES = 4096
MAX_REQUESTS = 4
SNAPSHOT_REQUEST = SnapshotRequest(0, 'control')
SNAPSHOT = SnapshotResponse(0, 7, b'state')
HEARTBEAT = Heartbeat('b', 'b1', 'z', 1)
CALL = ForwardedCall(0, 'b1', 'c', 'r', 's', 'GET', '/', (), b'body', 9, 'k')
NESTED = b'\x01\x9f' + encode_frame(HEARTBEAT)[2:] + b'\x91' * 4000 + b'\xc0'
"""A heartbeat with one field too many, whose arrays are nested 4000 deep."""

RESPONSE = ForwardedResponse(0, 'ran', 200, (), b'body')


def make_exchange(network, host, seed=1):
    transport = network.open_transport(host)
    for peer in 'abc':
        transport.connect(peer, '127.0.0.1', 1)
    return Exchange(
        host=host,
        incarnation=f'{host}1',
        transport=transport,
        limits=ExchangeLimits(
            max_message_bytes=MAX_BYTES, max_requests=MAX_REQUESTS
        ),
        pending_requests=PendingRequests(Random(seed)),
    )


def make_handlers(respond, on_heartbeat=None):
    return Handlers(
        respond_to_call=respond,
        respond_to_snapshot_request=respond,
        on_heartbeat=on_heartbeat or [].append,
    )


async def echo(sender, request):
    """Respond after a delay, with the contents of the request."""
    if isinstance(request, ForwardedCall):
        await trio.sleep(request.remaining_ms / 1000)
        return msgspec.structs.replace(RESPONSE, body=request.body)
    return msgspec.structs.replace(SNAPSHOT, state=request.stream.encode())


async def decline(sender, request):
    return None


async def fail(sender, request):
    raise EbonystreamError(ErrorKind.KEY_UNOWNED)


@pytest.mark.parametrize(
    ('frame', 'reason'),
    [
        (b'', DropReason.MALFORMED),
        (b'\x01', DropReason.MALFORMED),
        (b'\x01\xff', DropReason.MALFORMED),
        (b'\x02' + encode_frame(HEARTBEAT)[1:], DropReason.UNKNOWN_VERSION),
        (encode_frame(HEARTBEAT) + b'x', DropReason.MALFORMED),
        (encode_frame(HEARTBEAT)[:-1], DropReason.MALFORMED),
        (NESTED, DropReason.MALFORMED),
        (b'\x01' * (MAX_BYTES + 1), DropReason.OVERSIZE),
        (encode_frame(Heartbeat('a', 'x', 'z', 1)), DropReason.OWN_NAME),
        (
            encode_frame(Envelope('a', 'x', None, SNAPSHOT_REQUEST)),
            DropReason.OWN_NAME,
        ),
        (encode_frame(Envelope('b', 'b1', 'a1', SNAPSHOT)), DropReason.LATE),
        (
            encode_frame(Envelope('b', 'b1', 'a0', SNAPSHOT)),
            DropReason.OTHER_RECIPIENT,
        ),
        (
            encode_frame(Envelope('b', 'b1', None, SNAPSHOT)),
            DropReason.OTHER_RECIPIENT,
        ),
        (
            encode_frame(Envelope('b', 'b1', None, SNAPSHOT_REQUEST)),
            DropReason.NO_RESPONSE,
        ),
    ],
)
async def test_drops(autojump_clock, frame, reason):
    network = Network(Random(1))
    exchange = make_exchange(network, 'a')
    heartbeats = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange.run, make_handlers(fail, heartbeats.append))
        network.endpoints['a'].inbox_sender.send_nowait(frame)
        network.endpoints['a'].inbox_sender.send_nowait(encode_frame(HEARTBEAT))
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    assert exchange.dropped_messages == {reason: 1}
    assert heartbeats == [HEARTBEAT]


@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_decoded_or_dropped(payload, has_version):
    frame = decode_frame(b'\x01' * has_version + payload, max_bytes=MAX_BYTES)
    assert isinstance(frame, DropReason | Heartbeat | Envelope)


@pytest.mark.parametrize(
    ('respond', 'faults', 'drops'),
    [
        (decline, Faults(), {DropReason.NO_RESPONSE: 1}),
        (fail, Faults(), {DropReason.NO_RESPONSE: 1}),
        (echo, Faults(loss=1), {}),
    ],
)
async def test_request_without_response(autojump_clock, respond, faults, drops):
    network = Network(Random(1), faults)
    requester, responder = (make_exchange(network, host) for host in 'ab')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        nursery.start_soon(requester.run, make_handlers(decline))
        nursery.start_soon(responder.run, make_handlers(respond))
        with pytest.raises(EbonystreamError) as caught:
            await requester.send_request(
                'b', SNAPSHOT_REQUEST, trio.current_time() + 2
            )
        assert caught.value.kind is ErrorKind.OWNER_UNREACHABLE
        assert trio.current_time() == 2
        nursery.cancel_scope.cancel()
    assert responder.dropped_messages == drops
    assert not requester.pending_requests.by_correlation


@pytest.mark.parametrize(
    ('sender', 'response', 'reason'),
    [
        ('b', SNAPSHOT, None),
        ('c', SNAPSHOT, DropReason.MISMATCHED),
        ('b', RESPONSE, DropReason.MISMATCHED),
    ],
)
def test_only_a_matching_response_is_accepted(sender, response, reason):
    pending_requests = PendingRequests(Random(1))
    with pending_requests.track('b', SNAPSHOT_REQUEST) as pending:
        response = msgspec.structs.replace(
            response, correlation=pending.correlation
        )
        assert pending_requests.resolve(sender, response) is reason
        assert pending.response == (None if reason else response)
        duplicate_reason = reason or DropReason.LATE
        assert pending_requests.resolve(sender, response) is duplicate_reason
    assert pending_requests.resolve(sender, response) is DropReason.LATE


@pytest.mark.parametrize(
    ('sender', 'correlation', 'previous'),
    [('c', 1, None), ('b', 2, None), ('b', 1, SNAPSHOT)],
)
def test_a_mismatched_response_is_asserted(sender, correlation, previous):
    pending_requests = PendingRequests(Random(1))
    with pending_requests.track('b', SNAPSHOT_REQUEST) as pending:
        pending.correlation = 1
        pending.response = previous
        with pytest.raises(AssertionError):
            pending.resolve(
                sender,
                msgspec.structs.replace(SNAPSHOT, correlation=correlation),
            )


@pytest.mark.parametrize('seed', range(8))
async def test_responses_under_faults(autojump_clock, seed):
    random = Random(seed)
    faults = Faults(
        loss=0.1, duplication=0.2, min_delay_s=0.001, max_delay_s=0.5
    )
    network = Network(random, faults)
    exchanges = [make_exchange(network, host, seed) for host in 'abc']
    answered, unanswered = [], []

    async def send_call(exchange, host, number):
        body = f'{exchange.host}{host}{number}'.encode()
        call = msgspec.structs.replace(
            CALL, body=body, remaining_ms=random.randrange(700)
        )
        await trio.sleep(random.random() * 20)
        try:
            response = await exchange.send_request(
                host, call, trio.current_time() + 1
            )
        except EbonystreamError:
            unanswered.append(body)
            return
        assert response.body == body
        answered.append(body)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        for exchange in exchanges:
            nursery.start_soon(exchange.run, make_handlers(echo))
        async with trio.open_nursery() as calls:
            for number in range(50):
                for exchange in exchanges:
                    for host in {'a', 'b', 'c'} - {exchange.host}:
                        calls.start_soon(send_call, exchange, host, number)
        nursery.cancel_scope.cancel()
    assert len(answered) + len(unanswered) == 300
    assert len(answered) > 100
    assert unanswered
    late = sum(
        exchange.dropped_messages[DropReason.LATE] for exchange in exchanges
    )
    assert late > 10
    assert all(
        not exchange.pending_requests.by_correlation for exchange in exchanges
    )


async def test_number_of_requests_is_bounded(autojump_clock):
    network = Network(Random(1))
    requester, responder = (make_exchange(network, host) for host in 'ab')
    slow = msgspec.structs.replace(CALL, remaining_ms=500)
    unanswered = []

    async def send_call():
        try:
            await requester.send_request('b', slow, trio.current_time() + 1)
        except EbonystreamError:
            unanswered.append(slow)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        nursery.start_soon(requester.run, make_handlers(decline))
        nursery.start_soon(responder.run, make_handlers(echo))
        async with trio.open_nursery() as calls:
            for _ in range(MAX_REQUESTS + 3):
                calls.start_soon(send_call)
        nursery.cancel_scope.cancel()
    assert len(unanswered) == 3
    assert responder.dropped_messages == {DropReason.OVERLOADED: 3}
    assert responder.active_requests == 0


async def test_oversize_request_is_not_sent(autojump_clock):
    network = Network(Random(1))
    exchange = make_exchange(network, 'a')
    big = msgspec.structs.replace(CALL, body=b'x' * MAX_BYTES)
    with pytest.raises(EbonystreamError):
        await exchange.send_request('b', big, trio.current_time() + 1)
    assert exchange.dropped_messages == {DropReason.OVERSIZE: 1}
    assert network.sent_count == 0
