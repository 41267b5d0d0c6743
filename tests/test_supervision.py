"""Errors that nobody foresaw end no task, and each odd record is logged once."""

from random import Random
from types import SimpleNamespace

import pytest
import trio
import trio.lowlevel
from platform_samples import make_entry, make_known

from ebonystream._timers import Timers
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.entryhost._store_sync import StoreReader, sync_servers
from ebonystream.entryhost._supervision import run_supervised, supervise_probe
from ebonystream.entryhost._unreadable import UnreadableRecords
from ebonystream.gossip import HostFactTable
from ebonystream.placement import ProbeResult
from ebonystream.roster import EntriesListing, Roster

UNFORESEEN = [
    RecursionError('too deep'),
    ValueError('odd'),
    OverflowError('large'),
    ExceptionGroup('several', [KeyError('a')]),
]


def make_host():
    events = []
    return SimpleNamespace(
        timers=Timers(epoch_offset=0),
        metrics=HostMetrics(),
        events=events,
        log_event=lambda event, **fields: events.append(
            {'event': event, **fields}
        ),
        facts=HostFactTable('e1', 'a'),
        random=Random(1),
        roster=Roster(),
        store_unreachable=False,
        started_at=-9.0,
        has_read=lambda: True,
        cancel_orders_wait=lambda: None,
    )


def count_failures(host):
    return sum(host.metrics.failed_tasks.series.values())


@pytest.mark.parametrize('error', UNFORESEEN)
@pytest.mark.parametrize('failures', [0, 1, 4])
async def test_a_failed_task_is_started_again(autojump_clock, error, failures):
    host = make_host()
    runs = []

    async def run_task():
        runs.append(trio.current_time())
        await trio.lowlevel.checkpoint()
        if len(runs) <= failures:
            raise error

    await run_supervised(host, 'sync', run_task)
    assert len(runs) == failures + 1
    assert [line['task'] for line in host.events] == ['sync'] * failures
    assert all(type(error).__name__ in line['why'] for line in host.events)
    assert count_failures(host) == failures
    assert runs[-1] - runs[0] >= 0.5 * failures


async def test_a_cancelled_task_ends():
    host = make_host()
    with trio.move_on_after(0.01) as scope:
        await run_supervised(host, 'sync', trio.sleep_forever)
    assert scope.cancelled_caught
    assert not host.events


@pytest.mark.parametrize('error', UNFORESEEN)
async def test_a_failed_probe_has_no_result(error):
    host = make_host()
    server = make_known('i-1')

    async def probe(target):
        await trio.lowlevel.checkpoint()
        raise error

    result = await supervise_probe(host, probe)(server)
    assert (result.server, result.report) == (server, None)
    assert count_failures(host) == 1


async def test_a_sound_probe_keeps_its_result():
    host = make_host()
    sound = ProbeResult(make_known('i-1'), None, 7.0)

    async def probe(target):
        await trio.lowlevel.checkpoint()
        return sound

    assert await supervise_probe(host, probe)(sound.server) is sound
    assert not host.events


@pytest.mark.parametrize('error', UNFORESEEN)
async def test_the_list_is_followed_after_an_error(autojump_clock, error):
    """The servers of the last good read stay, and later reads are applied."""
    host = make_host()
    readings = [
        EntriesListing((make_entry('i-1'),)),
        error,
        error,
        EntriesListing((make_entry('i-1'), make_entry('i-2'))),
    ]
    known = []

    async def list_entries():
        await trio.lowlevel.checkpoint()
        known.append(sorted(host.roster.servers))
        reading = readings.pop(0) if len(readings) > 1 else readings[0]
        if isinstance(reading, Exception):
            raise reading
        return reading

    reader = StoreReader(
        list_orders=None,
        wait_for_orders=None,
        list_entries=list_entries,
        check_store=None,
    )
    with trio.move_on_after(5):
        await run_supervised(
            host, 'servers', lambda: sync_servers(host, reader)
        )
    assert known[:4] == [[], ['i-1'], ['i-1'], ['i-1']]
    assert sorted(host.roster.servers) == ['i-1', 'i-2']
    assert count_failures(host) == 2


@pytest.mark.parametrize(
    ('reads', 'logged'),
    [
        ([{'i-1': 'odd'}], ['i-1']),
        ([{'i-1': 'odd'}] * 9, ['i-1']),
        ([{'i-1': 'odd'}, {'i-1': 'otherwise odd'}], ['i-1']),
        ([{'i-1': 'odd'}, {}, {'i-1': 'odd'}], ['i-1', 'i-1']),
        ([{'i-1': 'odd'}, {'i-1': 'odd', 'i-2': 'x'}], ['i-1', 'i-2']),
    ],
)
def test_an_unreadable_record_is_logged_once(reads, logged):
    lines = []
    records = UnreadableRecords(lambda event, **fields: lines.append(fields))
    for reasons in reads:
        records.update('servers', reasons)
        records.update('orders', {})
    assert [line['key'] for line in lines] == logged
    assert records.count() == len(reads[-1])
