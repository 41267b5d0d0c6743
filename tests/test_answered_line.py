"""The version of the configuration in the log line of a response."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing
from test_gossip import make_listing
from test_unforeseen_errors import REQUEST

from ebonystream._timers import Timers
from ebonystream.entryhost._handlers import make_caller_handler
from ebonystream.ingress import OpenConnections
from ebonystream.orders import Orders
from ebonystream.platform import make_codec
from ebonystream.request import Response


@pytest.mark.parametrize('fails', [False, True])
@pytest.mark.parametrize(
    ('before', 'after', 'logged'),
    [
        (7, 7, {'configuration': 7}),
        (7, 8, {'configuration': 7, 'configuration_now': 8}),
        (None, 8, {'configuration': None, 'configuration_now': 8}),
        (None, None, {'configuration': None}),
    ],
)
async def test_version_that_routed_the_request(
    autojump_clock, before, after, logged, fails
):
    # Guards against a line with a version that was read after the routing.
    lines = []
    parts = SimpleNamespace(
        log_event=lambda event, **fields: lines.append((event, fields)),
        orders=Orders(),
        timers=Timers(epoch_offset=0),
        caller_connections=OpenConnections(),
    )

    configurations = {
        version: version and make_listing(version).configuration
        for version in (before, after)
    }

    async def respond(request, presence):
        await trio.sleep(0.1)
        parts.orders.configuration = configurations[after]
        if fails:
            raise OverflowError
        return Response(status=200, headers=(), body=b'', close=True)

    parts.orders.configuration = configurations[before]
    handle = make_caller_handler(parts, respond, make_codec())
    caller, host = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handle, host)
        await caller.send_all(REQUEST)
        assert await caller.receive_some()
    fields = dict(lines)['answered']
    versions = {name: fields[name] for name in fields if 'config' in name}
    assert versions == logged
