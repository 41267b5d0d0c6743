"""The stand-in host list, and cancellation of requests at a closed connection.

The host list shows each change after its lag; the HTTP server cancels a request
whose client closes the connection.
"""

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


def start_server(nursery, handle):
    client_stream, server_stream = trio.testing.memory_stream_pair()
    nursery.start_soon(
        lambda: serve_stream(
            server_stream, handle=handle, connections=Connections()
        ),
    )
    return Client(client_stream)


@pytest.mark.parametrize(
    ('method', 'target', 'body', 'visible'),
    [
        ('PUT', '/control/hosts', HOST, ['b', 'a']),
        ('DELETE', '/control/hosts/b', None, []),
        ('PUT', '/control/lag_s', 9, ['b']),
    ],
)
async def test_change_is_visible_after_lag(
    autojump_clock, method, target, body, visible
):
    host_list = HostList(trio.current_time, lag_s=5)
    host_list.replace_all([msgspec.structs.replace(HOST, name='b')])
    async with trio.open_nursery() as nursery:
        client = start_server(nursery, HostHandler(host_list).handle)
        encoded = msgspec.json.encode(body)
        response = await fetch(client, method, target, body=encoded)
        assert response.status == 204
        await trio.sleep(4.9)
        assert [host.name for host in host_list.list_visible()] == ['b']
        await trio.sleep(0.1)
        assert [host.name for host in host_list.list_visible()] == visible
        response = await fetch(client, 'GET', '/hosts')
        hosts = msgspec.json.decode(response.body)['hosts']
        assert [host['name'] for host in hosts] == visible
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('close_after_s', 'finished'),
    [(1, False), (3, True)],
)
async def test_closed_connection_cancels_request(
    autojump_clock, close_after_s, finished
):
    finished_paths = []

    async def handle(request):
        await trio.sleep(2)
        finished_paths.append(request.path)
        return Response()

    async with trio.open_nursery() as nursery:
        client = start_server(nursery, handle)
        with trio.move_on_after(close_after_s):
            await fetch(client, 'GET', '/')
        await client.stream.aclose()
        await trio.sleep(9)
        nursery.cancel_scope.cancel()
    assert bool(finished_paths) is finished
