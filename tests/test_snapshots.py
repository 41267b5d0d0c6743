"""A host that is behind takes over a peer's state, and never goes back."""

from random import Random

import attrs
import pytest
import trio

from ebonystream.membership import (
    HeartbeatContents,
    SharedState,
    make_fetch_answer,
)
from ebonystream.membership._snapshots import Lag
from ebonystream.peer import FetchSnapshot
from standins.members import MemberHosts
from standins.network import Faults, Network

HOSTS = ('a', 'b', 'c')


@attrs.define
class Fold:
    """A state that is just its offset."""

    next: int = 0
    taken: int = 0
    restored: int = 0
    broken: bool = False
    goes_back: bool = False

    def take(self):
        """Spell the state, unless it is broken."""
        self.taken += 1
        return None if self.broken else str(self.next).encode()

    def restore(self, state):
        """Take over a state that is further ahead."""
        self.restored += 1
        if self.goes_back:
            self.next = -1
            return True
        if int(state) <= self.next:
            return False
        self.next = int(state)
        return True

    def fill(self):
        """Tell peers of the state."""
        return HeartbeatContents(control_next=self.next)

    def share(self):
        """Share the state with peers."""
        return SharedState(
            stream='control',
            get_next=lambda: self.next,
            read_next=lambda heartbeat: heartbeat.control_next,
            take=self.take,
            restore=self.restore,
        )


def start(running, host, fold):
    """Start a host with a fold of its own."""
    running.kill(host)
    run = running.start(host)
    run.links = attrs.evolve(run.links, fill=fold.fill)
    run.states = (fold.share(),)


async def run_folds(folds, body, faults=None, seed=1):
    random = Random(seed)
    network = Network(random, faults or Faults())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        running = MemberHosts(network=network, nursery=nursery, random=random)
        running.list_hosts(*HOSTS)
        for host, fold in zip(HOSTS, folds, strict=True):
            start(running, host, fold)
        await body(running)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('at', 'broken', 'expected', 'restored'),
    [
        ((0, 0, 0), (), (0, 0, 0), 0),
        ((7, 7, 0), (), (7, 7, 7), 1),
        ((0, 7, 0), (), (7, 7, 7), 2),
        ((7, 7, 0), (0,), (7, 7, 7), 1),
        ((7, 7, 0), (0, 1), (7, 7, 0), 0),
        ((7, 9, 8), (), (9, 9, 9), 2),
    ],
)
async def test_catching_up(autojump_clock, at, broken, expected, restored):
    folds = [Fold(next=offset) for offset in at]
    for number in broken:
        folds[number].broken = True

    async def body(running):
        await trio.sleep(12)

    await run_folds(folds, body)
    assert tuple(fold.next for fold in folds) == expected
    assert sum(fold.restored for fold in folds) == restored


async def test_a_host_that_keeps_up_fetches_nothing(autojump_clock):
    """Each host folds new records, a little later than its peers."""
    folds = [Fold(), Fold(), Fold()]

    async def body(running):
        for offset in range(1, 100):
            for fold in folds:
                await trio.sleep(0.1)
                fold.next = offset

    await run_folds(folds, body)
    assert [fold.taken for fold in folds] == [0, 0, 0]


async def test_a_host_that_starts_takes_what_is_there(autojump_clock):
    folds = [Fold(7), Fold(7), Fold(7)]

    async def body(running):
        await trio.sleep(1)
        fresh = Fold()
        start(running, 'b', fresh)
        await trio.sleep(3)
        assert fresh.next == 7

    await run_folds(folds, body)


@pytest.mark.parametrize('seed', range(4))
async def test_never_back_under_faults(autojump_clock, seed):
    """One host reads the log; the others live on snapshots alone."""
    folds = [Fold(), Fold(), Fold()]
    faults = Faults(
        loss=0.3, duplication=0.3, min_delay_s=0.001, max_delay_s=1.5
    )

    async def body(running):
        highest = [0, 0, 0]
        for offset in range(1, 60):
            await trio.sleep(0.7)
            folds[0].next = max(folds[0].next, offset)
            for number, fold in enumerate(folds):
                assert fold.next >= highest[number]
                highest[number] = fold.next
        await trio.sleep(20)
        assert [fold.next for fold in folds] == [59, 59, 59]

    await run_folds(folds, body, faults, seed)


async def test_going_back_is_asserted(autojump_clock):
    folds = [Fold(7), Fold(7), Fold(goes_back=True)]

    async def body(running):
        await trio.sleep(9)

    with pytest.raises(ExceptionGroup) as caught:
        await run_folds(folds, body)
    assert caught.group_contains(AssertionError, match='back behind 0')


@pytest.mark.parametrize(
    ('stream', 'broken', 'state'),
    [('control', False, b'7'), ('control', True, None), ('x', False, None)],
)
async def test_answering(stream, broken, state):
    answer = make_fetch_answer([Fold(7, broken=broken).share()])
    snapshot = await answer('b', FetchSnapshot(5, stream))
    assert (None if snapshot is None else snapshot.state) == state
    if snapshot is not None:
        assert (snapshot.correlation, snapshot.next) == (5, 7)


@pytest.mark.parametrize(
    ('steps', 'long'),
    [
        ([(0, 5, 0), (0, 5, 0.9)], False),
        ([(0, 5, 0), (0, 5, 1)], True),
        ([(0, 5, 0), (4, 9, 1)], True),
        ([(0, 5, 0), (5, 9, 1), (5, 9, 1.9)], False),
        ([(0, 5, 0), (5, 9, 1), (5, 9, 2)], True),
        ([(5, 5, 0), (5, 5, 9)], False),
    ],
)
def test_lag(steps, long):
    lag = Lag()
    assert [lag.is_long(*step) for step in steps][-1] is long
