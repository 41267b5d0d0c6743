"""The host list shows each change one lag late; the server watches clients."""

import msgspec
import pytest
import trio
import trio.testing

from standins.client import Client, fetch
from standins.hostlist import Host, HostHandler, HostList, Role
from standins.http import Connections, Response, serve_stream

HOST = Host(
    name='a',
    role=Role.BACKEND,
    address='127.0.0.1',
    port=1,
    zone='z',
)


def serve_in(nursery, handle):
    near, far = trio.testing.memory_stream_pair()
    nursery.start_soon(
        lambda: serve_stream(far, handle=handle, connections=Connections()),
    )
    return Client(near)


@pytest.mark.parametrize(
    ('method', 'target', 'body', 'shown'),
    [
        ('PUT', '/control/hosts', HOST, ['b', 'a']),
        ('DELETE', '/control/hosts/b', None, []),
        ('PUT', '/control/lag_s', 9, ['b']),
    ],
)
async def test_lag(autojump_clock, method, target, body, shown):
    listed = HostList(trio.current_time, lag_s=5)
    listed.begin([msgspec.structs.replace(HOST, name='b')])
    async with trio.open_nursery() as nursery:
        client = serve_in(nursery, HostHandler(listed).handle)
        encoded = msgspec.json.encode(body)
        reply = await fetch(client, method, target, body=encoded)
        assert reply.status == 204
        await trio.sleep(4.9)
        assert [host.name for host in listed.shown()] == ['b']
        await trio.sleep(0.1)
        assert [host.name for host in listed.shown()] == shown
        reply = await fetch(client, 'GET', '/hosts')
        hosts = msgspec.json.decode(reply.body)['hosts']
        assert [host['name'] for host in hosts] == shown
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('close_after_s', 'finished'),
    [(1, False), (3, True)],
)
async def test_closing_cancels(autojump_clock, close_after_s, finished):
    done = []

    async def handle(request):
        await trio.sleep(2)
        done.append(request.path)
        return Response()

    async with trio.open_nursery() as nursery:
        client = serve_in(nursery, handle)
        with trio.move_on_after(close_after_s):
            await fetch(client, 'GET', '/')
        await client.stream.aclose()
        await trio.sleep(9)
        nursery.cancel_scope.cancel()
    assert bool(done) is finished
