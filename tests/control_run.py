"""A long randomised run of several hosts over one log, on a virtual clock.

Operators race, the log has outages, loses answers and forgets records, hosts
are replaced, fall silent, and hand one another snapshots.
"""

from functools import partial
from random import Random

import attrs
import msgspec
import trio
from control_records import (
    FAULTY,
    LISTS,
    back,
    condemn,
    out,
    publish,
    take_back,
    to_record,
    version,
)

from ebonystream._timers import make_timers
from ebonystream.configuration import (
    Control,
    make_asking,
    tail_pages,
    write_checkpoints,
)
from ebonystream.configuration._state import dump_folded
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogPage, LogRecord, LogService
from ebonystream.move import (
    CloseMove,
    Confirmation,
    VerdictKind,
    ZoneMove,
    ZonesInFlight,
    finish_zone_moves,
    make_return_notifier,
)
from standins.logstore import (
    AnswerLost,
    Conduct,
    LogStore,
    Outage,
    RateExceeded,
    ServiceDown,
)

LENGTH = 150
RETENTION = 40
HOSTS = 4
ZONES = ('a', 'b', 'c')
SERVICES = ('scans', 'sales')
IN_FORCE_WITHIN = 5
HEARD_AFTER = 1
FAILURES = (AnswerLost, RateExceeded, ServiceDown)


@attrs.define
class World:
    """The log, the hosts, and a witness that folds each record at once."""

    random: Random
    store: LogStore
    witness: Control = attrs.field(factory=Control)
    history: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(factory=dict)
    words: dict = attrs.field(factory=dict)
    accepted: list = attrs.field(factory=list)
    asked: int = 0
    calm: bool = False
    counts: dict = attrs.field(factory=dict)

    def count(self, what):
        """Count something that happened."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def observe(self):
        """Let the witness fold what was appended, and check the verdicts."""
        stream = self.store.streams.get('control')
        for record in stream.records if stream else ():
            if record.offset >= self.witness.next:
                body = bytes(record.value)
                self.witness.fold(LogRecord(record.offset, record.at_ms, body))
                at = self.witness.next
                self.history[at] = dump_folded(self.witness.folded, at)
                self.check_finished()

    def check_finished(self):
        """Check that no host has calls in a zone whose move out finished."""
        moves = self.witness.folded.moves.table.by_id.values()
        latest = {one.zone: one for one in moves if isinstance(one, ZoneMove)}
        for move in latest.values():
            if move.verdict and move.verdict.kind is VerdictKind.FINISHED:
                self.count(f'checked {move.direction.value}')
                for host in self.hosts.values() if move.is_evacuation() else ():
                    calls = host.zones.calls.get(move.zone, 0)
                    assert not calls, f'{move.id} finished with {calls} calls'

    def is_behind(self, host):
        """Tell whether a host lacks a record."""
        self.check(host)
        return host.control.next < self.witness.next

    def check(self, host):
        """Check that a host stands where the witness stood."""
        self.observe()
        own = dump_folded(host.control.folded, host.control.next)
        if own.next:
            assert own == self.history[own.next], 'a host differs'


@attrs.define
class Host:
    """One run of an entry host."""

    name: str
    control: Control = attrs.field(factory=Control)
    zones: ZonesInFlight = None
    ask: object = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    cold: list = attrs.field(factory=list)
    started: float = attrs.field(factory=trio.current_time)
    cut_until: float = 0
    silent_until: float = 0

    def is_silent(self, within=0.0):
        """Tell whether peers can't reach it, now or a while ago."""
        return trio.current_time() < self.silent_until + within


def make_log(world, host):
    def check_cut():
        if trio.current_time() < host.cut_until:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE)

    async def append(stream, body):
        check_cut()
        try:
            return await world.store.append(stream, msgspec.Raw(body))
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        finally:
            world.observe()

    async def read(stream, start, wait):
        check_cut()
        try:
            page = await world.store.read(stream, start, wait_ms=wait * 1000)
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        check_cut()
        records = (
            LogRecord(one.offset, one.at_ms, bytes(one.value))
            for one in page.records
        )
        return LogPage(page.first, page.next, tuple(records))

    return LogService(append, read)


async def run_host(world, number, timers):
    """Run one incarnation after another of one host."""
    while True:
        host = Host(f'h{number}-{world.random.randrange(10**9)}')
        host.zones = ZonesInFlight(host.control.is_out)
        with host.scope:
            await run_incarnation(world, host, timers)
        world.hosts.pop(host.name, None)
        world.words.pop(host.name, None)
        world.count('host replaced')
        await trio.sleep(world.random.uniform(0, 3))


async def run_incarnation(world, host, timers):
    log, control = make_log(world, host), host.control
    random = Random(world.random.random())
    host.ask = make_asking(
        control=control, log=log, stream='control', patience=3
    )
    control.watch.subscribe(
        make_return_notifier(
            get_moves=lambda: control.folded.moves,
            on_zone_return=host.cold.append,
            timers=timers,
        )
    )
    world.hosts[host.name] = host
    world.words[host.name] = Confirmation(host.name, host.name, 0, {})

    async def end_move(move, verdict, reason):
        try:
            await host.ask(
                CloseMove(f'{verdict.value}.{move}', move, verdict, reason)
            )
        except EbonystreamError:
            world.count('verdict refused')

    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(
                tail_pages,
                log=log,
                stream='control',
                get_next=lambda: control.progress.cursor,
                take=control.take_page,
                wait=1,
                timers=timers,
            )
        )
        nursery.start_soon(
            partial(
                write_checkpoints,
                control=control,
                log=log,
                stream='control',
                retention=RETENTION,
                timers=timers,
                random=random,
            )
        )
        nursery.start_soon(
            partial(
                finish_zone_moves,
                get_moves=lambda: control.folded.moves,
                list_confirmations=lambda: tuple(world.words.values()),
                end_move=end_move,
                timers=timers,
                random=random,
            )
        )
        nursery.start_soon(gossip, world, host, timers)
        nursery.start_soon(send_calls, world, host, nursery)


async def gossip(world, host, timers):
    """Heartbeat, fall silent now and then, and fetch from a peer ahead."""
    while True:
        world.check(host)
        if not world.calm and world.random.random() < 0.01:
            host.silent_until = trio.current_time() + 6
        if not world.calm and world.random.random() < 0.02:
            host.cut_until = trio.current_time() + 10
        silent = host.is_silent()
        word = Confirmation(
            host.name, host.name, host.control.next, dict(host.zones.calls)
        )
        if silent:
            word = attrs.evolve(
                world.words[host.name], unreachable_since_ms=timers.wall_ms()
            )
        world.words[host.name] = word
        if not silent:
            await fetch_newest(world, host)
        await trio.sleep(0.25)


async def fetch_newest(world, host):
    """Fetch the state of the peer that is furthest ahead."""
    reached = [one for one in world.hosts.values() if not one.is_silent()]
    peer = max(reached, key=lambda one: one.control.next)
    newest = peer.control.next
    if world.random.random() < 0.02:
        peer = world.random.choice(reached)
    if newest > host.control.next or peer.control.next < newest:
        # What was taken before a pause may be old once it arrives.
        snapshot = peer.control.take_snapshot()
        await trio.sleep(world.random.uniform(0, 0.3))
        taken = snapshot and host.control.restore(snapshot)
        world.count('snapshot taken' if taken else 'snapshot refused')
    if trio.current_time() > host.started + HEARD_AFTER:
        host.control.progress.settle(newest)


async def send_calls(world, host, nursery):
    while True:
        await trio.sleep(world.random.uniform(0, 0.5))
        zone = world.random.choice(ZONES)
        if may_send(host, zone):
            host.zones.begin(zone)
            nursery.start_soon(finish_call, world, host, zone)


def may_send(host, zone):
    """Tell whether a host may place a call in a zone."""
    return host.control.get_plans() and not host.control.is_out(zone)


async def finish_call(world, host, zone):
    try:
        await trio.sleep(world.random.uniform(0, 3))
    finally:
        host.zones.end(zone)


async def operate(world, nursery):
    while True:
        await trio.sleep(world.random.uniform(0, 1))
        hosts = list(world.hosts.values())
        if hosts:
            record = draw_record(world, world.random.choice(hosts).control)
            for host in world.random.sample(hosts, min(2, len(hosts))):
                nursery.start_soon(ask, world, host, record)


async def ask(world, host, record):
    """Ask as an operator does: again under the same id where it is unknown."""
    for _ in range(3):
        try:
            decision = await host.ask(record)
        except EbonystreamError as error:
            world.count(error.kind.value)
            if error.kind is not ErrorKind.LOG_UNAVAILABLE:
                return
            continue
        world.count('accepted')
        known = world.witness.folded.decisions.find(record.request)
        assert known == decision, 'accepted, but the log differs'
        await trio.sleep(IN_FORCE_WITHIN)
        for other in world.hosts.values():
            reached = not (host.is_silent(9) or other.is_silent(9))
            caught_up = other.control.progress.caught_up
            if host.name in world.hosts and reached and caught_up:
                world.count('seen in force')
                decided = other.control.folded.is_decided(record.request)
                assert decided, 'accepted, but not in force everywhere'
        return


def draw_record(world, control):
    random = world.random
    world.asked += 1
    name = f'r{world.asked}'
    moves = list(control.folded.moves.table.by_id) or ['none']
    zone = random.choice(ZONES)
    service = random.choice(SERVICES)
    stands_at = control.folded.moves.versions.settled.get(service, 'v0')
    newer = f'v{random.randrange(30)}'
    finish_by = int(trio.current_time() * 1000) + 60_000
    draws = (
        lambda: publish(name, control.version),
        lambda: publish(name, max(control.version - 1, 0)),
        lambda: publish(name, control.version, FAULTY),
        lambda: out(name, zone),
        lambda: out(name, zone),
        lambda: back(name, zone),
        lambda: take_back(name, random.choice(moves)),
        lambda: version(name, stands_at, newer, service, finish_by),
        lambda: CloseMove(
            name, random.choice(moves[-3:]), VerdictKind.FINISHED, 'done'
        ),
        lambda: condemn(name, random.choice(moves[-3:])),
    )
    drawn = random.choice(draws)()
    by_id = control.folded.moves.table.by_id
    if isinstance(drawn, CloseMove) and isinstance(
        by_id.get(drawn.move), ZoneMove
    ):
        return out(name, zone)
    return drawn


async def trouble(world):
    """Bring any trouble, often several at once."""
    random = world.random
    while True:
        await trio.sleep(random.uniform(0, 6))
        conduct = Conduct(retention_ms=RETENTION * 1000)
        if random.random() < 0.3:
            conduct.outage = random.choice((Outage.REFUSE, Outage.HANG_UP))
            world.count('outage')
        if random.random() < 0.3:
            conduct.lose_answers = random.randrange(1, 6)
        if random.random() < 0.3:
            conduct.delay_ms = random.randrange(1500)
        if random.random() < 0.3 and world.hosts:
            random.choice(list(world.hosts.values())).scope.cancel()
        world.store.behave(conduct)
        if random.random() < 0.2 and conduct.outage is Outage.NONE:
            await inject(world, b'{"type":1}')


async def inject(world, body):
    """Append what is no control record."""
    try:
        await world.store.append('control', msgspec.Raw(body))
    except FAILURES:
        world.count('injected')
    world.observe()


async def read_late(world):
    """Start a reader that sees only what the log still has."""
    host = Host('late')
    late = host.control
    page = await make_log(world, host).read('control', 0, 0)
    late.take_page(page)
    assert late.progress.caught_up, 'no usable checkpoint is left'
    world.check(host)
    assert late.next == world.witness.next
    return page.first


async def run_world(seed):
    """Run for a while, calm down, and check that all agree.

    Returns:
        What happened how often.
    """
    # Trio draws the order of tasks; a seed has to give the same run again.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random = Random(seed)
    store = LogStore(
        lambda: int(trio.current_time() * 1000),
        Conduct(retention_ms=RETENTION * 1000),
    )
    world = World(random, store)
    timers = make_timers(wall_clock=trio.current_time)
    async with trio.open_nursery() as nursery:
        for number in range(HOSTS):
            nursery.start_soon(run_host, world, number, timers)
        with trio.move_on_after(LENGTH):
            async with trio.open_nursery() as chaos:
                chaos.start_soon(operate, world, nursery)
                chaos.start_soon(trouble, world)
        store.behave(Conduct(retention_ms=RETENTION * 1000))
        world.calm = True
        await trio.sleep(2 * RETENTION)
        # Nothing is appended from here on, and peers have to be enough.
        store.behave(
            Conduct(outage=Outage.REFUSE, retention_ms=RETENTION * 1000)
        )
        await trio.sleep(IN_FORCE_WITHIN)
        assert not any(map(world.is_behind, world.hosts.values()))
        store.behave(Conduct(retention_ms=RETENTION * 1000))
        if await read_late(world):
            world.count('late reader of a suffix')
        nursery.cancel_scope.cancel()
    world.counts['records'] = world.witness.next
    world.counts['unreadable'] = world.witness.unreadable
    return world.counts


if __name__ == '__main__':
    import sys

    from trio.testing import MockClock

    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        clock = MockClock(autojump_threshold=0)
        print(number, trio.run(run_world, number, clock=clock), flush=True)
