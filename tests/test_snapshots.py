"""A host that lags restores the state of a peer, and never goes back."""

from random import Random

import attrs
import pytest
import trio

from ebonystream.membership import (
    HeartbeatContents,
    SharedState,
    make_snapshot_handler,
)
from ebonystream.membership._snapshots import Lag
from ebonystream.peer import SnapshotRequest
from standins.members import MemberHosts
from standins.network import Faults, Network

HOSTS = ('a', 'b', 'c')


@attrs.define
class FakeState:
    """A state that consists of its offset alone."""

    next: int = 0
    encoded: int = 0
    restored: int = 0
    broken: bool = False
    goes_back: bool = False

    def encode(self):
        """Encode the state, unless it is broken."""
        self.encoded += 1
        return None if self.broken else str(self.next).encode()

    def restore(self, state):
        """Replace the state by one that is further ahead."""
        self.restored += 1
        if self.goes_back:
            self.next = -1
            return True
        if int(state) <= self.next:
            return False
        self.next = int(state)
        return True

    def make_contents(self):
        """Return the contents of heartbeats."""
        return HeartbeatContents(control_next=self.next)

    def make_shared_state(self):
        """Return the state to share with peers."""
        return SharedState(
            stream='control',
            get_next_offset=lambda: self.next,
            read_next_offset=lambda heartbeat: heartbeat.control_next,
            encode=self.encode,
            restore=self.restore,
        )


def start(running, host, fake):
    """Start a host with its own state."""
    running.kill(host)
    run = running.start(host)
    run.links = attrs.evolve(run.links, make_contents=fake.make_contents)
    run.states = (fake.make_shared_state(),)


async def run_hosts(fakes, body, faults=None, seed=1):
    random = Random(seed)
    network = Network(random, faults or Faults())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        running = MemberHosts(network=network, nursery=nursery, random=random)
        running.set_host_list(*HOSTS)
        for host, fake in zip(HOSTS, fakes, strict=True):
            start(running, host, fake)
        await body(running)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('offsets', 'broken', 'expected', 'restored'),
    [
        ((0, 0, 0), (), (0, 0, 0), 0),
        ((7, 7, 0), (), (7, 7, 7), 1),
        ((0, 7, 0), (), (7, 7, 7), 2),
        ((7, 7, 0), (0,), (7, 7, 7), 1),
        ((7, 7, 0), (0, 1), (7, 7, 0), 0),
        ((7, 9, 8), (), (9, 9, 9), 2),
    ],
)
async def test_catching_up(autojump_clock, offsets, broken, expected, restored):
    fakes = [FakeState(next=offset) for offset in offsets]
    for number in broken:
        fakes[number].broken = True

    async def body(running):
        await trio.sleep(12)

    await run_hosts(fakes, body)
    assert tuple(fake.next for fake in fakes) == expected
    assert sum(fake.restored for fake in fakes) == restored


async def test_a_host_that_keeps_up_requests_no_snapshot(autojump_clock):
    """Each host applies new records, a little later than its peers."""
    fakes = [FakeState(), FakeState(), FakeState()]

    async def body(running):
        for offset in range(1, 100):
            for fake in fakes:
                await trio.sleep(0.1)
                fake.next = offset

    await run_hosts(fakes, body)
    assert [fake.encoded for fake in fakes] == [0, 0, 0]


async def test_a_host_that_starts_restores_a_snapshot(autojump_clock):
    fakes = [FakeState(7), FakeState(7), FakeState(7)]

    async def body(running):
        await trio.sleep(1)
        fresh = FakeState()
        start(running, 'b', fresh)
        await trio.sleep(3)
        assert fresh.next == 7

    await run_hosts(fakes, body)


@pytest.mark.parametrize('seed', range(4))
async def test_offsets_never_decrease_under_faults(autojump_clock, seed):
    """One host reads the log; the others depend on its snapshots."""
    fakes = [FakeState(), FakeState(), FakeState()]
    faults = Faults(
        loss=0.3, duplication=0.3, min_delay_s=0.001, max_delay_s=1.5
    )

    async def body(running):
        highest = [0, 0, 0]
        for offset in range(1, 60):
            await trio.sleep(0.7)
            fakes[0].next = max(fakes[0].next, offset)
            for number, fake in enumerate(fakes):
                assert fake.next >= highest[number]
                highest[number] = fake.next
        await trio.sleep(20)
        assert [fake.next for fake in fakes] == [59, 59, 59]

    await run_hosts(fakes, body, faults, seed)


async def test_a_decreasing_offset_is_asserted(autojump_clock):
    fakes = [FakeState(7), FakeState(7), FakeState(goes_back=True)]

    async def body(running):
        await trio.sleep(9)

    with pytest.raises(ExceptionGroup) as caught:
        await run_hosts(fakes, body)
    assert caught.group_contains(AssertionError, match='back behind 0')


@pytest.mark.parametrize(
    ('stream', 'broken', 'state'),
    [('control', False, b'7'), ('control', True, None), ('x', False, None)],
)
async def test_response_to_a_snapshot_request(stream, broken, state):
    handle = make_snapshot_handler(
        [FakeState(7, broken=broken).make_shared_state()]
    )
    snapshot = await handle('b', SnapshotRequest(5, stream))
    assert (None if snapshot is None else snapshot.state) == state
    if snapshot is not None:
        assert (snapshot.correlation, snapshot.next_offset) == (5, 7)


@pytest.mark.parametrize(
    ('steps', 'is_overdue'),
    [
        ([(0, 5, 0), (0, 5, 0.9)], False),
        ([(0, 5, 0), (0, 5, 1)], True),
        ([(0, 5, 0), (4, 9, 1)], True),
        ([(0, 5, 0), (5, 9, 1), (5, 9, 1.9)], False),
        ([(0, 5, 0), (5, 9, 1), (5, 9, 2)], True),
        ([(5, 5, 0), (5, 5, 9)], False),
    ],
)
def test_lag(steps, is_overdue):
    lag = Lag()
    assert [lag.is_overdue(*step) for step in steps][-1] is is_overdue
