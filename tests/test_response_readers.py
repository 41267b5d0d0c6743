"""Each reader of responses refuses broken ones, however plausible the rest."""

import struct

import httpx
import msgspec
import pytest
import trio
from platform_samples import make_known
from server_fakes import TIMERS, make_call, make_listed_server
from test_store_client import make_page
from test_usage_formats import FIRST

from ebonystream._address import ServerAddress
from ebonystream.backend import INTERRUPTED
from ebonystream.cli._client import AdminClient, AdminError, send_request
from ebonystream.cli._exit import ExitCode
from ebonystream.duty import CallResult, SendReport
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import (
    SharedRequest,
    make_fetch_shared,
    make_send_counts,
)
from ebonystream.link import ConnectionPool, PoolLimits, make_exchange
from ebonystream.logservice import make_http_log_service, make_read_hosts
from ebonystream.placement import make_probe
from ebonystream.platform import (
    KeyedRecord,
    StoreClient,
    UsageService,
    make_codec,
)
from ebonystream.route import ServiceSettings
from ebonystream.upstream import make_sender
from ebonystream.usage import CountsMessage, CountsReply

ADDRESS = '127.0.0.1'
LIMITS = PoolLimits(max_idle=4, idle_timeout=60, connect_timeout=5)
TIME_LIMIT_S = 5
OFFSET = msgspec.json.encode({'offset': 3, 'end': 4})
SHARED = msgspec.msgpack.encode(['s', None, None])
COUNTS = msgspec.msgpack.encode(CountsReply(True))
HEALTH = (
    b'ebonystream-instance-id: i-1\r\nebonystream-server-load: 0,0,2,100\r\n'
    b'server-leaving: 1\r\n'
)


def make_link():
    return make_exchange(pool=ConnectionPool(LIMITS, TIMERS))


def make_store(at):
    return StoreClient(at, make_link(), lambda call: None)


async def append_keyed(at):
    return await make_store(at).append_keyed('t', KeyedRecord('k', b'v'))


async def append(at):
    return await make_store(at).append('t', b'v', expected_end=3)


async def list_newest(at):
    return await make_store(at).list_newest('t')


async def wait_for_append(at):
    return await make_store(at).wait_for_append('t', 9, wait=0)


async def read_last(at):
    return await make_store(at).read_last('t', 0)


async def report_usage(at):
    service = UsageService(at, TIMERS, 2)
    return await service.call(SendReport(FIRST, TIMERS.boot_now() + 2))


async def fetch_shared(at):
    fetch = make_fetch_shared(exchange=make_link())
    return await fetch(at, SharedRequest(0, '', 0))


async def send_counts(at):
    send = make_send_counts(exchange=make_link())
    return await send(at, CountsMessage('e1', '1', 9.0))


async def probe(at):
    server = make_known(at=at)
    probe_server = make_probe(
        exchange=make_link(),
        codec=make_codec(),
        list_service_settings=lambda: {'records': SERVICE},
        timers=TIMERS,
        observe=lambda result: None,
    )
    result = await probe_server(server)
    return result.report or server.leaving or None


async def call_backend(at):
    send = make_sender(pool=ConnectionPool(LIMITS, TIMERS), timers=TIMERS)
    call = make_call(b'', timeout=2, now=TIMERS.now())
    return await send(call, make_listed_server('s', port=at.port))


async def append_to_log(at):
    async with httpx.AsyncClient() as client:
        log = make_http_log_service(
            client=client, url=f'http://{at.address}:{at.port}'
        )
        return await log.append('s', b'1')


async def read_log(at):
    async with httpx.AsyncClient() as client:
        log = make_http_log_service(
            client=client, url=f'http://{at.address}:{at.port}'
        )
        return await log.read('s', 0, 0)


async def read_hosts(at):
    async with httpx.AsyncClient() as client:
        return await make_read_hosts(
            client=client, url=f'http://{at.address}:{at.port}'
        )()


async def ask_administration(at):
    client = AdminClient(f'http://{at.address}:{at.port}', None)
    try:
        return await trio.to_thread.run_sync(
            send_request, client, 'POST', '/v1/moves', {'id': 'm'}
        )
    except AdminError as error:
        return error.exit_code


READERS = {
    append_keyed: (OFFSET, b'', ErrorKind.LOG_UNAVAILABLE),
    append: (OFFSET, b'', ErrorKind.LOG_UNAVAILABLE),
    list_newest: (make_page('ab'), b'', ErrorKind.LOG_UNAVAILABLE),
    wait_for_append: (
        struct.pack('>QQ', 12, 0),
        b'',
        ErrorKind.LOG_UNAVAILABLE,
    ),
    read_last: (struct.pack('>QQ', 0, 0), b'', ErrorKind.LOG_UNAVAILABLE),
    report_usage: (b'{}', b'', CallResult.UNKNOWN),
    fetch_shared: (SHARED, b'', None),
    send_counts: (COUNTS, b'', None),
    probe: (b'', HEALTH, None),
    call_backend: (b'hi', b'x-not-run: true\r\n', INTERRUPTED),
    append_to_log: (OFFSET, b'', ErrorKind.LOG_UNAVAILABLE),
    read_log: (
        b'{"first": 0, "next": 0, "records": []}',
        b'',
        ErrorKind.LOG_UNAVAILABLE,
    ),
    read_hosts: (b'{"hosts": []}', b'', ErrorKind.LOG_UNAVAILABLE),
    ask_administration: (
        b'{"error": "e", "detail": "d", "advice": "a", "outcome": "not_run"}',
        b'',
        ExitCode.UNKNOWN,
    ),
}
"""By reader: a body and fields that it accepts, and its result without."""

SERVICE = ServiceSettings(
    health_path='/health', max_connections=9, cold_start=0, cold_rate=1
)
VALID = b'HTTP/1.1 200 OK\r\n'
BROKEN = {
    '000': (b'HTTP/1.1 000 X\r\n', b''),
    '099': (b'HTTP/1.1 099 X\r\n', b''),
    '600': (b'HTTP/1.1 600 X\r\n', b''),
    '999': (b'HTTP/1.1 999 X\r\n', b''),
    'HTTP/0.9': (b'HTTP/0.9 200 OK\r\n', b''),
    'HTTP/2.0': (b'HTTP/2.0 200 OK\r\n', b''),
    'blank in a name': (VALID, b'x y: z\r\n'),
    'blank before the colon': (VALID, b'x : z\r\n'),
    'control byte in a name': (VALID, b'x\x01y: z\r\n'),
    'NUL in a value': (VALID, b'x: y\x00z\r\n'),
    'no colon': (VALID, b'x\r\n'),
}
"""By name: a status line, and a line among the fields."""


async def read_from(read, content):
    """Let a reader read from a server that sends this and closes."""

    async def serve(stream):
        async with stream:
            await stream.receive_some(65_536)
            await stream.send_all(content)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=ADDRESS)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        at = ServerAddress(ADDRESS, listeners[0].socket.getsockname()[1])
        with trio.fail_after(TIME_LIMIT_S):
            try:
                result = await read(at)
            except EbonystreamError as error:
                result = error.kind
        nursery.cancel_scope.cancel()
    return result


def encode(read, status_line, line=b''):
    body, fields, _ = READERS[read]
    length = b'content-length: %d\r\n' % len(body)
    return b'%b%b%b%b\r\n%b' % (status_line, line, length, fields, body)


def get_name(read):
    return read.__name__ if callable(read) else None


@pytest.mark.parametrize('name', BROKEN)
@pytest.mark.parametrize('read', READERS, ids=get_name)
async def test_broken_response(read, name):
    content = encode(read, *BROKEN[name])
    assert await read_from(read, content) == READERS[read][-1]


@pytest.mark.parametrize('informational', [b'100', b'103'])
@pytest.mark.parametrize('read', READERS, ids=get_name)
async def test_no_final_response(read, informational):
    content = b'HTTP/1.1 %b X\r\n%b\r\n' % (informational, READERS[read][1])
    assert await read_from(read, content) == READERS[read][-1]


@pytest.mark.parametrize('missing', [1, 4, 5, 9, 20, 30])
@pytest.mark.parametrize('read', READERS, ids=get_name)
async def test_response_cut_in_its_head(read, missing):
    head = encode(read, VALID).partition(b'\r\n\r\n')[0] + b'\r\n\r\n'
    assert await read_from(read, head[:-missing]) == READERS[read][-1]


@pytest.mark.parametrize('read', READERS, ids=get_name)
async def test_valid_response(read):
    """Guards against a table whose rows would be refused anyway."""
    assert await read_from(read, encode(read, VALID)) != READERS[read][-1]
