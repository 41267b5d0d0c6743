"""Slots of backend servers: bounded over all hosts, and none is lost."""

from collections import Counter
from random import Random

import pytest
import trio
from call_samples import make_call

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.backend import (
    CUT,
    Attempt,
    AttemptKind,
    BackendServer,
    Directory,
    ServerAddress,
    ServerPhase,
    UsualTimes,
    Warmth,
)
from ebonystream.call import Answer
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.peer import AskSlots
from ebonystream.routing import (
    RETURNED,
    Slot,
    SlotExchange,
    SlotPeer,
    SlotRegistry,
    Waiting,
    make_choosing,
    make_learning,
    make_placing,
    make_shedding,
)

SLOTS = 2
ZONES = ('a', 'b', 'c')
EXPECTED = (ErrorKind.DEADLINE_EXPIRED, ErrorKind.OVER_LIMIT)
ANSWERED = Attempt(
    AttemptKind.ANSWERED,
    answer=Answer(outcome=Outcome.RAN, status=200, headers=(), body=b''),
)


def list_servers(count):
    return [
        BackendServer(
            id=f's{number}',
            at=ServerAddress('127.0.0.1', number),
            service='s',
            version='v1',
            zone=ZONES[number % 3],
            warmth=Warmth(phase=ServerPhase.SERVING),
        )
        for number in range(count)
    ]


class World:
    """Entry hosts in one process, and the calls in hand at each server."""

    def __init__(self, nursery, *, hosts, servers, seed, loss=0.0, overlap=0):
        self.overlap = overlap
        self.nursery = nursery
        self.random = Random(seed)
        self.loss = loss
        self.delay = 0.001
        self.timers = Timers(epoch_offset=0)
        self.in_hand = dict.fromkeys((f's{i}' for i in range(servers)), 0)
        self.silence = Seconds(3)
        self.count = hosts
        self.confirmed = {}
        self.homes = {}
        self.frozen = set()
        self.out = set()
        self.leaving = set()
        self.bears_from = 0.0
        self.hosts = {
            f'h{i}': self.make_host(i, hosts, servers) for i in range(hosts)
        }

    def make_host(self, number, hosts, servers):
        """Make an entry host with all of its own parts."""
        me = SlotPeer(f'h{number}', ZONES[number % 3])
        peers = [
            SlotPeer(f'h{i}', ZONES[i % 3]) for i in range(hosts) if i != number
        ]
        directory = Directory()
        directory.replace(list_servers(servers))
        random = Random(self.random.random())
        usual = UsualTimes()
        exchange = SlotExchange(
            me=me,
            timers=self.timers,
            choose=make_choosing(
                zone=me.zone, may_take=self.may_take, random=random
            ),
            shed=make_shedding(usual=usual, patience=lambda rank: 1),
            send=self.send,
            is_out=lambda zone: zone in self.out,
            list_peers=lambda: peers,
            find_server=directory.servers.get,
            random=random,
        )
        registry = SlotRegistry(
            exchange=exchange,
            directory=directory,
            slots=SLOTS,
            overlap=self.overlap,
            find_home=self.find_home,
            get_confirmed=lambda server: self.confirmed.get(
                (me.host, self.find_home(server)), 0
            ),
            get_silence=lambda: self.silence,
            is_leaving=lambda: me.host in self.leaving,
        )
        place = make_placing(
            exchange=exchange,
            directory=directory,
            is_out=lambda zone: zone in self.out,
            rank=lambda call: 0,
            note=self.note_placing,
            timers=self.timers,
        )
        learn = make_learning(
            exchange=exchange, usual=usual, timers=self.timers
        )
        return exchange, registry, place, learn

    def note_placing(self, waiting, server):
        """Check that each call that got a slot tells why."""
        assert waiting.reason is not None

    def may_take(self, call, server):
        """Tell whether servers bear a call yet."""
        return trio.current_time() >= self.bears_from

    def find_home(self, server):
        """Give the host that makes the slots of a server."""
        home = f'h{int(server[1:]) % self.count}'
        return self.homes.get(home, home)

    def send(self, to, message):
        """Lose, double and delay messages."""
        copies = self.random.choice((1, 1, 1, 2))
        for _ in range(copies):
            if self.random.random() >= self.loss:
                self.nursery.start_soon(self.deliver, to, message)

    async def deliver(self, to, message):
        """Bring a message after its delay."""
        await trio.sleep(self.random.expovariate(1 / self.delay))
        exchange = self.hosts[to][0]
        if isinstance(message, AskSlots):
            exchange.take_ask(message)
        elif message.asked_ms == RETURNED:
            self.hosts[to][1].take_return(message)
        else:
            exchange.take_grant(message)

    async def gossip(self):
        """Tell each peer what is held; a peer that hears it confirms it."""
        heard = {}
        async for now in self.timers.subscribe(period=Seconds(0.25)):
            for name in sorted(self.hosts.keys() - self.frozen):
                registry = self.hosts[name][1]
                registry.check()
                for other in sorted(self.hosts.keys() - self.frozen - {name}):
                    if self.random.random() < self.loss:
                        continue
                    self.hosts[other][1].take_report(name, registry.report())
                    heard[other, name] = now
                    if (name, other) in heard:
                        self.confirmed[other, name] = heard[name, other]

    async def call(self, name, took, patience=1e9):
        """Run one call; the server itself counts what it has in hand."""
        _, _, place, learn = self.hosts[name]
        call = make_call(deadline=trio.current_time() + patience)
        server = await place(call, set())
        assert trio.current_time() <= call.deadline
        self.in_hand[server.id] += 1
        assert self.in_hand[server.id] <= SLOTS + self.overlap
        attempt = CUT
        try:
            await trio.sleep(took)
            attempt = ANSWERED
        finally:
            self.in_hand[server.id] -= 1
            learn(call, server, attempt, Seconds(took))

    def count_slots(self):
        """Count the slots that all hosts hold."""
        return sum(
            len(exchange.get_service('s').held.slots)
            for exchange, *_ in self.hosts.values()
        )


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(
    ('hosts', 'servers', 'overlap', 'loss', 'least'),
    [
        (1, 2, 0, 0.0, 220),
        (3, 4, 1, 0.0, 220),
        (7, 6, 0, 0.2, 150),
        (13, 6, 1, 0.2, 150),
        (17, 6, 0, 0.5, 50),
    ],
)
async def test_bound_and_no_leak(
    autojump_clock, seed, hosts, servers, overlap, loss, least
):
    """In flight never above the slots; all slots are there at the end."""
    random = Random(seed)
    ends = []
    async with trio.open_nursery() as nursery:
        world = World(
            nursery,
            hosts=hosts,
            servers=servers,
            seed=seed,
            loss=loss,
            overlap=overlap,
        )
        nursery.start_soon(world.gossip)
        await trio.sleep(4)

        async def one():
            await trio.sleep(random.expovariate(1 / 4))
            cancelled = random.random() < 0.3
            limit = random.uniform(0, 0.1) if cancelled else 60
            with trio.move_on_after(limit) as scope:
                name = random.choice(list(world.hosts))
                try:
                    await world.call(
                        name, random.expovariate(20), random.uniform(0, 2)
                    )
                except EbonystreamError as error:
                    ends.append(error.kind)
                    return
            ends.append(scope.cancelled_caught)

        async with trio.open_nursery() as calls:
            for _ in range(400):
                calls.start_soon(one)
        await trio.sleep(10)
        assert len(ends) == 400
        assert ends.count(False) > least
        assert set(ends) <= {True, False, *EXPECTED}
        assert world.count_slots() == (SLOTS + overlap) * servers
        assert not any(world.in_hand.values())
        for exchange, *_ in world.hosts.values():
            assert not exchange.get_service('s').line.waiting
        nursery.cancel_scope.cancel()


async def test_slots_of_a_lost_host_are_made_again(autojump_clock):
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=3, servers=3, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        world.hosts['h0'][0].get_service('s').held.slots.clear()
        world.frozen.add('h0')
        world.homes['h0'] = 'h1'
        await trio.sleep(2.5)
        assert world.count_slots() == 4
        await trio.sleep(1)
        assert world.count_slots() == 6
        nursery.cancel_scope.cancel()


async def test_a_holder_that_home_does_not_hear_stops(autojump_clock):
    """Its lease has ended before home makes the slots again."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=2, servers=1, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        one = world.hosts['h1'][0].get_service('s').held
        for _ in range(50):
            with trio.move_on_after(0.1):
                await world.call('h1', 0.01)
        lost = len(one.slots)
        world.frozen.add('h1')
        await trio.sleep(2.2)
        assert not one.list_free(world.timers.now())
        assert world.hosts['h0'][1].made == SLOTS
        await trio.sleep(1.5)
        assert world.hosts['h0'][1].made == SLOTS + lost
        world.frozen.clear()
        await trio.sleep(1)
        assert world.count_slots() == SLOTS
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('servers', 'tried', 'kind'),
    [
        (0, (), ErrorKind.NO_BACKEND),
        (1, ('s0',), ErrorKind.NO_BACKEND),
        (1, (), ErrorKind.DEADLINE_EXPIRED),
    ],
)
async def test_refusals(autojump_clock, servers, tried, kind):
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=1, servers=servers, seed=1)
        with pytest.raises(EbonystreamError) as caught:
            await world.hosts['h0'][2](make_call(deadline=0.5), set(tried))
        assert caught.value.kind is kind


async def test_slots_of_a_server_that_starts_go_home(autojump_clock):
    """At once, not after the silence; a slot in use follows when it is free."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=2, servers=1, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        nursery.start_soon(world.call, 'h1', 1)
        await trio.sleep(0.1)
        one, home = (
            world.hosts[name][0].get_service('s') for name in ('h1', 'h0')
        )
        assert one.held.slots
        for name in ('h0', 'h1'):
            server = world.hosts[name][0].find_server('s0')
            server.warmth.phase = ServerPhase.COLD
        await trio.sleep(0.5)
        assert len(one.held.slots) == 1
        await trio.sleep(1)
        assert (len(one.held.slots), len(home.held.slots)) == (0, SLOTS)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('bears_after', 'patience', 'placed'), [(0.3, 2, True), (3, 0.5, False)]
)
async def test_a_call_waits_for_a_server_that_bears_none_now(
    autojump_clock, bears_after, patience, placed
):
    """Found by two benches at once: a cold server's calls were refused."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=1, servers=1, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        world.bears_from = trio.current_time() + bears_after
        call = make_call(deadline=trio.current_time() + patience)
        kind = None
        try:
            await world.hosts['h0'][2](call, set())
        except EbonystreamError as error:
            kind = error.kind
        assert kind is (None if placed else ErrorKind.DEADLINE_EXPIRED)
        nursery.cancel_scope.cancel()


async def test_a_slot_that_comes_past_the_deadline_is_not_taken(autojump_clock):
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=1, servers=1, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        for _ in range(SLOTS):
            nursery.start_soon(world.call, 'h0', 1)
        await trio.sleep(0.1)
        waiting = Waiting(
            call=make_call(deadline=trio.current_time() + 0.5),
            tried=frozenset(),
            rank=0,
            since=trio.current_time(),
            wake=lambda: None,
        )
        exchange = world.hosts['h0'][0]
        exchange.shed = lambda slots, now: None
        exchange.get_service('s').line.join(waiting)
        await trio.sleep(2)
        assert waiting.slot is None
        assert waiting.error.kind is ErrorKind.DEADLINE_EXPIRED
        nursery.cancel_scope.cancel()


async def test_a_host_that_stops_hands_its_slots_over(autojump_clock):
    """They don't have to be made again, which takes the silence of 3 s."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, hosts=3, servers=3, seed=1)
        nursery.start_soon(world.gossip)
        await trio.sleep(4)
        world.homes['h0'] = 'h1'
        world.leaving.add('h0')
        await trio.sleep(0.6)
        assert not world.hosts['h0'][0].get_service('s').held.slots
        assert world.count_slots() == 3 * SLOTS
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(('servers', 'slots'), [(1, 64), (4, 16), (30, 2)])
def test_the_rules_are_asked_once_for_each_server(servers, slots):
    """They cost far more than the rest, and slots of a server are alike."""
    asked = Counter()

    def may_take(call, server):
        asked[server.id] += 1
        return True

    choose = make_choosing(zone=ZONES[0], may_take=may_take, random=Random(1))
    free = [
        Slot(server=server, number=number)
        for server in list_servers(servers)
        for number in range(slots)
    ]
    waiting = Waiting(
        call=make_call(deadline=1e9),
        tried=frozenset(),
        rank=0,
        since=0,
        wake=list,
    )
    assert choose(free, waiting, 1)
    assert asked == {server.id: 1 for server in list_servers(servers)}


TRIALS = {
    'resting still': (0, 0, 1, 0.5, False),
    'its rest has just ended': (0, 0, 1, -0.1, False),
    'nobody tried it for long': (0, 0, 1, -1.1, True),
    'the call has waited': (0, 0.11, 1, -0.1, True),
    'the call has waited, with much time': (0, 0.09, 100, -0.1, False),
    'the call has little time': (0, 0.006, 0.05, -0.1, True),
    'not promised': (1, 0, 1, -0.1, True),
}


@pytest.mark.parametrize(
    ('rank', 'waited', 'deadline', 'rested', 'tries'),
    TRIALS.values(),
    ids=TRIALS.keys(),
)
def test_promised_calls_leave_trials_of_slow_servers_to_others(
    rank, waited, deadline, rested, tries
):
    (server,) = list_servers(1)
    server.evidence.ratio = 10
    server.evidence.rests_until = waited + rested
    choose = make_choosing(
        zone=ZONES[0], may_take=lambda call, server: True, random=Random(1)
    )
    waiting = Waiting(
        call=make_call(deadline=deadline),
        tried=frozenset(),
        rank=rank,
        since=0,
        wake=list,
    )
    free = [Slot(server=server, number=0)]
    assert (choose(free, waiting, waited) is not None) == tries
