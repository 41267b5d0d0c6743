"""Requests that an entry host refuses at their head, as they do not fit."""

from types import SimpleNamespace

import pytest
import trio
import trio.testing
from test_memory_of_connections import HEAD, KIB, MIB

from ebonystream._timers import Timers
from ebonystream.entryhost._handlers import make_caller_handler
from ebonystream.ingress import MemoryBudget, OpenConnections
from ebonystream.platform import make_codec


@pytest.mark.parametrize(
    ('budget_bytes', 'size', 'status', 'fields'),
    [
        (300 * KIB, 200 * KIB, 503, [b'retry-after: 1.000']),
        # It would not fit alone.
        (300 * KIB, 290 * KIB, 413, []),
        # It is above the limit of the configuration.
        (64 * MIB, 2 * MIB, 413, []),
    ],
)
async def test_refusals_before_the_body(
    autojump_clock, budget_bytes, size, status, fields
):
    # Guards against bodies that are read although they do not fit, and against
    # refusals that leave no line.
    lines = []
    parts = SimpleNamespace(
        log_event=lambda event, **fields: lines.append((event, fields)),
        orders=SimpleNamespace(configuration=None),
        timers=Timers(epoch_offset=0),
        caller_connections=OpenConnections(budget=MemoryBudget(budget_bytes)),
    )
    handle = make_caller_handler(parts, None, make_codec())
    async with trio.open_nursery() as nursery:
        for announced in (100 * KIB, size):
            client, server = trio.testing.memory_stream_pair()
            nursery.start_soon(handle, server)
            await client.send_all(HEAD % announced)
            await trio.lowlevel.checkpoint()
        head = (await client.receive_some()).partition(b'\r\n\r\n')[0]
        nursery.cancel_scope.cancel()
    assert int(head.split(b' ')[1]) == status
    assert {b'connection: close', *fields} <= set(
        bytes(head).lower().split(b'\r\n')
    )
    assert [event for event, _ in lines] == ['request_refused']
