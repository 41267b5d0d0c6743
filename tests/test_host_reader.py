"""The host list is read whole only when it has changed."""

import httpx
import pytest

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import make_host_reader
from standins.hostlist import Host, HostHandler, HostList, Role
from standins.http import Request


def make_host(name):
    return Host(name=name, role=Role.ENTRY, address='::1', port=1, zone='z')


def make_reader(answer):
    transport = httpx.MockTransport(answer)
    return make_host_reader(
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
async def test_readings(etags, added, statuses):
    listed = HostList(lambda: 0)
    listed.begin([make_host('a')])
    told = []

    async def answer(request):
        sent = Request(
            method=request.method,
            path=request.url.path,
            query={},
            headers=dict(request.headers),
            body=b'',
        )
        shown = await HostHandler(listed).handle(sent)
        told.append(shown.status)
        headers = dict(shown.headers) if etags else {}
        return httpx.Response(shown.status, headers=headers, content=shown.body)

    read_hosts = make_reader(answer)
    assert [host.name for host in await read_hosts()] == ['a']
    for name in added:
        listed.put(make_host(name))
    for _ in range(2):
        seen = [host.name for host in await read_hosts()]
        assert seen == ['a', *added]
    assert told == statuses


@pytest.mark.parametrize(
    'response',
    [httpx.Response(304), httpx.Response(200, content=b'{"hosts": 1}')],
)
async def test_what_is_no_reading(response):
    async def answer(request):
        return response

    with pytest.raises(EbonystreamError) as caught:
        await make_reader(answer)()
    assert caught.value.kind is ErrorKind.LOG_UNAVAILABLE
