"""The host list is transferred only when it has changed."""

import httpx
import pytest

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import make_read_hosts
from standins.hostlist import Host, HostHandler, HostList, Role
from standins.http import Request


def make_host(name):
    return Host(name=name, role=Role.ENTRY, address='::1', port=1, zone='z')


def make_reader(respond):
    transport = httpx.MockTransport(respond)
    return make_read_hosts(
        client=httpx.AsyncClient(transport=transport), url='http://list'
    )


@pytest.mark.parametrize(
    ('etags', 'added', 'statuses'),
    [
        (True, (), [200, 304, 304]),
        (True, ('b',), [200, 200, 304]),
        (False, (), [200, 200, 200]),
        (False, ('b',), [200, 200, 200]),
    ],
)
async def test_reads(etags, added, statuses):
    host_list = HostList(lambda: 0)
    host_list.replace_all([make_host('a')])
    received_statuses = []

    async def respond(http_request):
        request = Request(
            method=http_request.method,
            path=http_request.url.path,
            query={},
            headers=dict(http_request.headers),
            body=b'',
        )
        response = await HostHandler(host_list).handle(request)
        received_statuses.append(response.status)
        headers = dict(response.headers) if etags else {}
        return httpx.Response(
            response.status, headers=headers, content=response.body
        )

    read_hosts = make_reader(respond)
    assert [host.name for host in await read_hosts()] == ['a']
    for name in added:
        host_list.put(make_host(name))
    for _ in range(2):
        names = [host.name for host in await read_hosts()]
        assert names == ['a', *added]
    assert received_statuses == statuses


@pytest.mark.parametrize(
    'response',
    [
        httpx.Response(304),
        httpx.Response(200, content=b'{"hosts": 1}'),
        httpx.Response(204, content=b'{"hosts": []}'),
        httpx.Response(404, content=b'{"hosts": []}'),
        httpx.Response(500, content=b'{"hosts": []}'),
        httpx.Response(503, content=b'{"hosts": []}'),
    ],
)
async def test_invalid_response(response):
    """Guards against an error that is taken for a list without hosts."""

    async def respond(request):
        return response

    with pytest.raises(EbonystreamError) as raised:
        await make_reader(respond)()
    assert raised.value.kind is ErrorKind.LOG_UNAVAILABLE
