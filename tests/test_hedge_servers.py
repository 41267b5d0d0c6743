"""The search for the idle server of a hedge."""

from contextlib import nullcontext
from random import Random

import attrs
import pytest
import trio
from platform_samples import make_known
from test_placement import REQUEST

from ebonystream._timers import Timers
from ebonystream.placement import (
    ProbeResult,
    ProcessingTimes,
    SearchContext,
    WaitQueues,
    make_find_idle_server,
)
from ebonystream.placement._wait_history import WaitHistory
from ebonystream.roster import HealthReport, LoadReport

IDLE = LoadReport(running=0, waiting=0, slots=2, pace=1)
BUSY = attrs.evolve(IDLE, running=2)
SLOW = attrs.evolve(IDLE, pace=4)


def make_report(load):
    return HealthReport(healthy=True, server_id=None, cold_left=None, load=load)


@pytest.mark.parametrize(
    ('loads', 'cold', 'excluded', 'allowed', 'waited', 'found'),
    [
        ([IDLE], (), (), True, None, 'i-0'),
        ([BUSY, IDLE], (), (), True, None, 'i-1'),
        ([BUSY, SLOW], (), (), True, None, None),
        ([IDLE], ('i-0',), (), True, None, None),
        ([IDLE], (), ('i-0',), True, None, None),
        ([IDLE], (), (), False, None, None),
        # Another request waited for the service two seconds ago, or four.
        ([IDLE], (), (), True, -2, None),
        ([IDLE], (), (), True, -4, 'i-0'),
        # One waits now.
        ([IDLE], (), (), True, 'now', None),
        ([], (), (), True, None, None),
    ],
)
async def test_idle_servers(
    autojump_clock, loads, cold, excluded, allowed, waited, found
):
    servers = [make_known(f'i-{number}') for number in range(len(loads))]
    for server in servers:
        server.cold_until = 9.0 if server.entry.id in cold else 0.0

    async def probe(server):
        load = loads[servers.index(server)]
        return ProbeResult(server, make_report(load), 0.0)

    queues, waits = WaitQueues(), WaitHistory()
    request = attrs.evolve(REQUEST, excluded_servers=frozenset(excluded))
    async with trio.open_nursery() as nursery:
        find = make_find_idle_server(
            SearchContext(
                list_servers=lambda service, draw: servers,
                probe=probe,
                processing_times=ProcessingTimes(),
                queues=queues,
                zone='a',
                timers=Timers(epoch_offset=0),
                random=Random(0),
                background=nursery,
                may_receive=lambda server: allowed,
                waits=waits,
            )
        )
        if waited and waited != 'now':
            waits.record('records', waited)
        with queues.join(REQUEST) if waited == 'now' else nullcontext():
            candidate = await find(request)
    assert (candidate and candidate.probe_result.server.entry.id) == found
