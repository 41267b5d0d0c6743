"""Who reads and writes the report of a version move, and how often."""

from types import SimpleNamespace

import pytest
from test_gossip import LoopbackSocket, make_facts
from test_service_moves import make_move

from ebonystream.entryhost._move_reports import StoredReport, sync_report
from ebonystream.entryhost._version_moves import (
    apply_peer_facts,
    make_move_facts,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import GossipSocket, HostFactTable, MoveFacts
from ebonystream.roster import Roster
from ebonystream.versionmove import MoveVerdict

RUNNING, FINISHED, ROLLED_BACK = MoveVerdict
HOSTS = [f'e{number}' for number in range(1, 9)]


class Store:
    """The store's newest report, and how often it was read and written."""

    def __init__(self, verdict=None, *, down=False):
        self.verdict = verdict
        self.down = down
        self.reads = 0
        self.writes = 0

    async def read(self, move):
        """Read the newest report of a move."""
        self.reads += 1
        if self.down:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'down')

        async def write():
            self.writes += 1
            self.verdict = move.verdict
            return True

        return StoredReport(self.verdict, write)


def make_host(name, now, *, zones=1, moves=()):
    """Make a host that knows eight hosts, some of them with facts on moves."""
    table = HostFactTable(name, f'z{HOSTS.index(name) % zones}')
    for number, host in enumerate(HOSTS):
        facts = make_facts(
            host, zone=f'z{number % zones}', moves=() if host == name else moves
        )
        table.update(facts, now)
    return SimpleNamespace(
        settings=SimpleNamespace(name=name),
        timers=SimpleNamespace(now=lambda: now),
        facts=table,
        roster=Roster(),
        log_event=lambda event, **fields: None,
    )


@pytest.mark.parametrize(
    ('name', 'zones', 'now', 'reads'),
    [
        # The leader of each zone looks for an earlier verdict at once.
        ('e1', 1, 0.1, 1),
        ('e2', 1, 0.1, 0),
        ('e2', 2, 0.1, 1),
        ('e3', 2, 0.1, 0),
        # The others do so if nobody has told them the result.
        ('e2', 1, 1.1, 1),
        ('e8', 1, 1.1, 1),
    ],
)
async def test_who_looks_for_an_earlier_verdict(name, zones, now, reads):
    store = Store(RUNNING)
    move = make_move(store_checked=False)
    await sync_report(make_host(name, now, zones=zones), move, store.read)
    assert store.reads == reads
    assert move.store_checked is bool(reads)


@pytest.mark.parametrize('checked', [True, False])
@pytest.mark.parametrize('reported', [None, RUNNING, FINISHED, ROLLED_BACK])
async def test_peers_tell_what_they_found(checked, reported):
    facts = MoveFacts(
        move=make_move().id,
        elapsed=0.1,
        complete=False,
        verdict=reported or RUNNING,
        reported_verdict=reported,
        counts=(),
        store_checked=checked,
    )
    host = make_host('e8', 0.2, moves=(facts,))
    move = make_move(store_checked=False)
    apply_peer_facts(host, move, 0.2)
    assert move.store_checked is checked
    assert move.verdict is (reported or RUNNING)
    store = Store(reported)
    await sync_report(host, move, store.read)
    assert store.reads == 0


@pytest.mark.parametrize(
    ('started_at', 'elapsed'),
    [(1_000_000.0, 0), (999_990.0, 10), (0.0, 86_400), (1_000_001.0, 0)],
)
async def test_facts_on_old_moves_are_accepted(started_at, elapsed):
    """Peers accept durations of a day at most."""
    now = 1_000_000.0
    host = make_host('e1', now)
    move = make_move(started_at=started_at)
    host.moves = SimpleNamespace(moves={move.id: move})
    facts = make_facts('e1', moves=make_move_facts(host, now))
    socket = LoopbackSocket()
    datagrams = GossipSocket(socket, 1)
    await datagrams.send([facts], ['10.0.0.2'])
    (received,) = (await datagrams.receive()).facts
    assert received.moves[0].elapsed == elapsed


async def test_reads_do_not_grow_with_the_hosts():
    """Before the first gossip after an order, only leaders read the store."""
    store = Store()
    for name in HOSTS:
        host = make_host(name, 0.1, zones=2)
        await sync_report(host, make_move(store_checked=False), store.read)
    assert store.reads == 2


@pytest.mark.parametrize(('now', 'checked'), [(1.5, False), (3.5, True)])
async def test_a_move_starts_in_an_outage(now, checked):
    move = make_move(store_checked=False)
    await sync_report(make_host('e1', now), move, Store(down=True).read)
    assert move.store_checked is checked


@pytest.mark.parametrize(
    ('name', 'now', 'writes'), [('e1', 5.0, 1), ('e2', 5.0, 0), ('e2', 6.0, 1)]
)
async def test_one_host_after_another_reports(name, now, writes):
    """Two hosts that both take the turn write under one condition."""
    store = Store(RUNNING)
    move = make_move(verdict=ROLLED_BACK, verdict_changed_at=5.0)
    await sync_report(make_host(name, now), move, store.read)
    assert store.writes == writes
