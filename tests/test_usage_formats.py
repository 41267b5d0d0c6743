"""Records of the duty, calls of the store and the service, and settings."""

import json
import struct
from functools import partial

import msgspec
import pytest
import trio
import trio.testing
from test_entry_host import ADDRESS, make_settings
from test_store_client import make_response, make_store

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.duty import CallResult, DutyRecord, SendReport
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import DutyFacts, make_counts_handler
from ebonystream.http1 import Message, encode_response
from ebonystream.ingress import EncodedResponse
from ebonystream.platform import (
    UsageService,
    decode_settings,
    encode_duty_record,
    encode_usage_report,
    find_last_duty_record,
)
from ebonystream.usage import CountsMessage, CountsReply, WindowCounts
from standins.messages import serve_messages
from standins.platformstore import PlatformStore


def make_record(window=353_445_120, token=7, **counts):
    report = encode_usage_report(window, counts)
    return DutyRecord('e1', '0001', token, report)


FIRST, SECOND = make_record(5, kaje80=412), make_record(6, 8)
ENCODED, ENCODED_SECOND = map(encode_duty_record, (FIRST, SECOND))


def test_reports():
    report = make_record(b=1, a=412).report
    assert report.body == b'{"window_id":353445120,"counts":{"a":412,"b":1}}'


@pytest.mark.parametrize(
    ('content', 'found'),
    [
        (ENCODED, FIRST),
        (ENCODED + ENCODED_SECOND, SECOND),
        # Whatever the store writes between records.
        (struct.pack('>I', len(ENCODED)) + ENCODED + b'\r\n', FIRST),
        (struct.pack('>QI', 12, 34) + ENCODED + b'\xff' * 9, FIRST),
        (b'', None),
        (b'{"other": "record"}', None),
        (ENCODED[:-1], None),
        (ENCODED + ENCODED_SECOND[:-1], FIRST),
        (ENCODED + ENCODED_SECOND[:10], FIRST),
        (ENCODED + ENCODED_SECOND.replace(b'e1', b'e2'), FIRST),
        (ENCODED[:6], None),
    ],
)
def test_records(content, found):
    assert find_last_duty_record(content) == found


def make_read(end, first=0, content=b''):
    return make_response(200, struct.pack('>QQ', end, first) + content)


@pytest.mark.parametrize(
    ('hint', 'replies', 'starts', 'end', 'content'),
    [
        (0, [make_read(0)], [0], 0, b''),
        (0, [make_read(1, 0, b'r')], [0], 1, b'r'),
        (8, [make_read(9, 0, b'r')], [8], 9, b'r'),
        # The hint is old: more records are there.
        (8, [make_read(12, 0, b'old'), make_read(12, 0, b'r')], [8, 11], 12, b'r'),
        # The store has dropped some, or all.
        (0, [make_response(410, b'{"first":7}'), make_read(8, 7, b'r')], [0, 7], 8, b'r'),
        (8, [make_read(9, 9)], [8], 9, b''),
        # It has lost its history.
        (8, [make_read(0)], [8], 0, b''),
        (8, [make_read(3), make_read(3, 0, b'r')], [8, 2], 3, b'r'),
        (8, [make_response(416), make_read(0)], [8, 0], 0, b''),
        # It knows no such topic before the first record.
        (0, [make_response(404)], [0], 0, b''),
        (8, [make_response(404)], [8], 0, b''),
    ],
)  # fmt: skip
async def test_reads_of_the_last_record(hint, replies, starts, end, content):
    store, requests = make_store(*replies)
    last = await store.read_last('duty', hint)
    assert (last.end, last.content) == (end, content)
    for request, start in zip(requests, starts, strict=True):
        assert f'from={start}&'.encode() in request


@pytest.mark.parametrize(
    'replies', [[make_response(503)], [make_read(n) for n in (3, 6, 9, 12)]]
)
async def test_reads_that_fail(replies):
    store, _ = make_store(*replies)
    with pytest.raises(EbonystreamError):
        await store.read_last('duty', 0)


async def test_the_stand_in_keeps_records():
    platform = PlatformStore()

    async def exchange(at, request, matches):
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(platform.serve, server)
            await client.send_all(request)
            reply = bytes(await client.receive_some(9999))
            nursery.cancel_scope.cancel()
        head, _, body = reply.partition(b'\r\n\r\n')
        return make_response(int(head.split()[1]), body)

    store, _ = make_store()
    store.exchange = exchange
    assert await store.append('duty', ENCODED, expected_end=0) == 0
    assert await store.append('duty', ENCODED, expected_end=0) is None
    assert await store.append('duty', ENCODED_SECOND, expected_end=1) == 1
    last = await store.read_last('duty', 0)
    assert last.end == 2
    assert find_last_duty_record(last.content) == SECOND


@pytest.mark.parametrize(
    ('status', 'result'),
    [
        (200, CallResult.ACCEPTED),
        (204, CallResult.ACCEPTED),
        (409, CallResult.FENCED),
        (429, CallResult.LIMITED),
        (400, CallResult.REFUSED),
        (422, CallResult.REFUSED),
        (404, CallResult.UNKNOWN),
        (408, CallResult.UNKNOWN),
        (500, CallResult.UNKNOWN),
        (503, CallResult.UNKNOWN),
        (None, CallResult.UNKNOWN),
    ],
)
async def test_calls_of_the_service(status, result):
    received = []

    async def respond(message, arrived, presence):
        received.append(message)
        return EncodedResponse(encode_response(status, (), b''), False)

    async def serve(stream):
        if status is None:
            return await stream.aclose()
        await serve_messages(stream, respond)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host=ADDRESS)
        )
        port = listeners[0].socket.getsockname()[1]
        timers = Timers(epoch_offset=0)
        service = UsageService(ServerAddress(ADDRESS, port), timers, 0.6)
        now = timers.boot_now()
        assert await service.call(SendReport(FIRST, now + 0.6)) is result
        # A host that was frozen sends nothing.
        late = await service.call(SendReport(FIRST, now - 0.1))
        assert late is CallResult.UNKNOWN
        nursery.cancel_scope.cancel()
    assert len(received) == (status is not None)
    for message in received:
        assert message.target == b'/usage'
        assert message.body == FIRST.report.body
        headers = dict(message.headers)
        assert headers[b'ebonystream-duty-holder'] == b'e1'
        assert headers[b'ebonystream-fencing-token'] == b'7'
        assert headers[b'content-type'] == b'application/json'


@pytest.mark.parametrize(
    ('cloud', 'bounds', 'times'),
    [
        (None, {}, None),
        ({'duties': []}, {}, None),
        ({'duties': ['other']}, {}, None),
        ({'duties': ['usage_reporting']}, {}, (3, 5, 10)),
        (
            {'duties': ['other', 'usage_reporting'], 'rate_per_s': 50.0},
            {'lease_time': '2s', 'report_window': '1s', 'usage_late': '4000ms'},
            (2, 1, 4),
        ),
        ({'duties': ['usage_reporting']}, {'lease_time': '0ms'}, ValueError),
        ({'duties': ['usage_reporting']}, {'report_window': 5}, ValueError),
        ({'duties': ['usage_reporting']}, {'report_window': '0s'}, ValueError),
        ({'duties': 'usage_reporting'}, {}, ValueError),
    ],
)
def test_settings(cloud, bounds, times):
    settings = json.loads(make_settings(1, 2, 3, 4))
    settings['terms']['bounds'].update(bounds)
    if cloud is not None:
        address = {'address': '10.200.0.89:8225'}
        settings['platform']['cloud'] = {**address, **cloud}
    content = json.dumps(settings).encode()
    if times is ValueError:
        with pytest.raises(ValueError, match=r'.'):
            decode_settings(content)
        return
    usage = decode_settings(content).usage
    decoded = None if usage is None else (usage.lease, usage.window, usage.late)
    assert decoded == times


GOOD_COUNTS = CountsMessage('e1', '1', 9.0, (WindowCounts(7, {'a': 3}),))
ODD_COUNTS = [
    b'',
    b'\xc1',
    b'\x91' * 5000,
    msgspec.msgpack.encode(CountsMessage('', '1', 9.0)),
    msgspec.msgpack.encode(CountsMessage('e1', '1', float('nan'))),
    msgspec.msgpack.encode(CountsMessage('e1', '1', 9.0, (WindowCounts(-1, {}),))),
    msgspec.msgpack.encode(
        CountsMessage('e1', '1', 9.0, (WindowCounts(7, {'a': -3}),))
    ),
]  # fmt: skip


@pytest.mark.parametrize(
    ('target', 'body', 'status', 'taken'),
    [
        (b'/counts', msgspec.msgpack.encode(GOOD_COUNTS), b'200', [GOOD_COUNTS]),
        (b'/shared', b'', b'404', []),
        *((b'/counts', body, b'400', []) for body in ODD_COUNTS),
    ],
)  # fmt: skip
async def test_counts_of_other_hosts(target, body, status, taken):
    received = []

    def take(message):
        received.append(message)
        return CountsReply(collecting=True)

    async def respond_otherwise(message, arrived, presence):
        await trio.lowlevel.checkpoint()
        return EncodedResponse(encode_response(404, (), b''), False)

    respond = make_counts_handler(take, respond_otherwise)
    message = Message(
        target=target,
        headers=(),
        body=body,
        keep_alive=True,
        method=b'POST',
        status=0,
    )
    response = await respond(message, 0.0, None)
    assert response.content.split()[1] == status
    assert received == taken


@pytest.mark.parametrize('token', [-1, 2**60])
def test_odd_facts_are_refused(token):
    facts = DutyFacts(True, False, 'e1', token, 1, 1, 1)
    encoded = msgspec.msgpack.encode(facts)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(encoded, type=DutyFacts)
