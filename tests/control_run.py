"""A long randomised run of several hosts over one log, on a virtual clock.

Operators race; the log has outages, loses responses and expires records; hosts
are replaced, become unreachable, and send snapshots to each other.
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
    close_rolled_back,
    out,
    publish,
    take_back,
    to_record,
    version,
)

from ebonystream._timers import make_timers
from ebonystream.configuration import (
    ControlReplica,
    make_submit_record,
    tail_pages,
    write_checkpoints,
)
from ebonystream.configuration._state import dump_state
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
    LogStore,
    LogStoreSettings,
    Outage,
    RateExceeded,
    ResponseLost,
    ServiceDown,
)

RUN_DURATION_S = 150
RETENTION_S = 40
HOSTS = 4
ZONES = ('a', 'b', 'c')
SERVICES = ('scans', 'sales')
IN_FORCE_WITHIN_S = 5
PEERS_KNOWN_AFTER_S = 1
FAILURES = (ResponseLost, RateExceeded, ServiceDown)


@attrs.define
class World:
    """The log, the hosts, and a reference that applies each record at once."""

    random: Random
    store: LogStore
    reference: ControlReplica = attrs.field(factory=ControlReplica)
    history: dict = attrs.field(factory=dict)
    hosts: dict = attrs.field(factory=dict)
    confirmations: dict = attrs.field(factory=dict)
    accepted: list = attrs.field(factory=list)
    submitted: int = 0
    faults_ended: bool = False
    counts: dict = attrs.field(factory=dict)

    def count(self, what):
        """Count an event."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def observe(self):
        """Apply new records to the reference, and check the verdicts."""
        stream = self.store.streams.get('control')
        for record in stream.records if stream else ():
            if record.offset >= self.reference.next_offset:
                body = bytes(record.value)
                self.reference.fold(
                    LogRecord(record.offset, record.at_ms, body)
                )
                offset = self.reference.next_offset
                self.history[offset] = dump_state(
                    self.reference.folded_state, offset
                )
                self.check_finished()

    def check_finished(self):
        """Check that no host has calls in a zone that finished evacuation."""
        moves = self.reference.folded_state.moves.table.by_id.values()
        latest = {
            move.zone: move for move in moves if isinstance(move, ZoneMove)
        }
        for move in latest.values():
            if move.verdict and move.verdict.kind is VerdictKind.FINISHED:
                self.count(f'checked {move.direction.value}')
                for host in self.hosts.values() if move.is_evacuation() else ():
                    calls = host.zones.calls.get(move.zone, 0)
                    assert not calls, f'{move.id} finished with {calls} calls'

    def is_behind(self, host):
        """Check a host, and return whether it is missing a record."""
        self.check(host)
        return host.control.next_offset < self.reference.next_offset

    def check(self, host):
        """Check that a host has the state of the reference at its offset."""
        self.observe()
        state = dump_state(host.control.folded_state, host.control.next_offset)
        if state.next:
            assert state == self.history[state.next], 'a host differs'


@attrs.define
class Host:
    """One incarnation of an entry host."""

    name: str
    control: ControlReplica = attrs.field(factory=ControlReplica)
    zones: ZonesInFlight = None
    submit: object = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    returned_zones: list = attrs.field(factory=list)
    started: float = attrs.field(factory=trio.current_time)
    disconnected_until: float = 0
    unreachable_until: float = 0

    def is_unreachable(self, within=0.0):
        """Return whether it is unreachable, or was within some seconds."""
        return trio.current_time() < self.unreachable_until + within


def make_log(world, host):
    def check_connected():
        if trio.current_time() < host.disconnected_until:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE)

    async def append(stream, body):
        check_connected()
        try:
            return await world.store.append(stream, msgspec.Raw(body))
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        finally:
            world.observe()

    async def read(stream, start, wait):
        check_connected()
        try:
            page = await world.store.read(stream, start, wait_ms=wait * 1000)
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        check_connected()
        records = (
            LogRecord(record.offset, record.at_ms, bytes(record.value))
            for record in page.records
        )
        return LogPage(page.first, page.next, tuple(records))

    return LogService(append, read)


async def run_host(world, number, timers):
    """Run the incarnations of a host, one after another."""
    while True:
        host = Host(f'h{number}-{world.random.randrange(10**9)}')
        host.zones = ZonesInFlight(host.control.is_evacuated)
        with host.scope:
            await run_incarnation(world, host, timers)
        world.hosts.pop(host.name, None)
        world.confirmations.pop(host.name, None)
        world.count('host replaced')
        await trio.sleep(world.random.uniform(0, 3))


async def run_incarnation(world, host, timers):
    log, control = make_log(world, host), host.control
    random = Random(world.random.random())
    host.submit = make_submit_record(
        control=control, log=log, stream='control', timeout=3
    )
    control.change_notifier.subscribe(
        make_return_notifier(
            get_moves=lambda: control.folded_state.moves,
            on_zone_return=host.returned_zones.append,
            timers=timers,
        )
    )
    world.hosts[host.name] = host
    world.confirmations[host.name] = Confirmation(host.name, host.name, 0, {})

    async def end_move(move, verdict, reason):
        try:
            await host.submit(
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
                get_next_offset=lambda: control.progress.cursor,
                apply_page=control.apply_page,
                max_wait=1,
                timers=timers,
            )
        )
        nursery.start_soon(
            partial(
                write_checkpoints,
                control=control,
                log=log,
                stream='control',
                retention=RETENTION_S,
                timers=timers,
                random=random,
            )
        )
        nursery.start_soon(
            partial(
                finish_zone_moves,
                get_moves=lambda: control.folded_state.moves,
                list_confirmations=lambda: tuple(world.confirmations.values()),
                end_move=end_move,
                timers=timers,
                random=random,
            )
        )
        nursery.start_soon(gossip, world, host, timers)
        nursery.start_soon(send_calls, world, host, nursery)


async def gossip(world, host, timers):
    """Send confirmations, with random outages, and fetch newer states."""
    while True:
        world.check(host)
        if not world.faults_ended and world.random.random() < 0.01:
            host.unreachable_until = trio.current_time() + 6
        if not world.faults_ended and world.random.random() < 0.02:
            host.disconnected_until = trio.current_time() + 10
        unreachable = host.is_unreachable()
        confirmation = Confirmation(
            host.name,
            host.name,
            host.control.next_offset,
            dict(host.zones.calls),
        )
        if unreachable:
            confirmation = attrs.evolve(
                world.confirmations[host.name],
                unreachable_since_ms=timers.wall_ms(),
            )
        world.confirmations[host.name] = confirmation
        if not unreachable:
            await fetch_newest(world, host)
        await trio.sleep(0.25)


async def fetch_newest(world, host):
    """Fetch the state of the peer that is furthest ahead."""
    reachable = [
        candidate
        for candidate in world.hosts.values()
        if not candidate.is_unreachable()
    ]
    peer = max(reachable, key=lambda candidate: candidate.control.next_offset)
    newest = peer.control.next_offset
    if world.random.random() < 0.02:
        peer = world.random.choice(reachable)
    if newest > host.control.next_offset or peer.control.next_offset < newest:
        # A snapshot may be out of date once it arrives.
        snapshot = peer.control.take_snapshot()
        await trio.sleep(world.random.uniform(0, 0.3))
        restored = snapshot and host.control.restore(snapshot)
        world.count('snapshot restored' if restored else 'snapshot refused')
    if trio.current_time() > host.started + PEERS_KNOWN_AFTER_S:
        host.control.progress.confirm_caught_up(newest)


async def send_calls(world, host, nursery):
    while True:
        await trio.sleep(world.random.uniform(0, 0.5))
        zone = world.random.choice(ZONES)
        if may_send(host, zone):
            host.zones.begin(zone)
            nursery.start_soon(finish_call, world, host, zone)


def may_send(host, zone):
    """Return whether a host may place a call in a zone."""
    return host.control.get_plans() and not host.control.is_evacuated(zone)


async def finish_call(world, host, zone):
    try:
        await trio.sleep(world.random.uniform(0, 3))
    finally:
        host.zones.end(zone)


async def submit_records(world, nursery):
    while True:
        await trio.sleep(world.random.uniform(0, 1))
        hosts = list(world.hosts.values())
        if hosts:
            record = draw_record(world, world.random.choice(hosts).control)
            for host in world.random.sample(hosts, min(2, len(hosts))):
                nursery.start_soon(submit, world, host, record)


async def submit(world, host, record):
    """Submit a record; retry with the same id if the outcome is unknown."""
    for _ in range(3):
        try:
            decision = await host.submit(record)
        except EbonystreamError as error:
            world.count(error.kind.value)
            if error.kind is not ErrorKind.LOG_UNAVAILABLE:
                return
            continue
        world.count('accepted')
        logged = world.reference.folded_state.decisions.get(record.request)
        assert logged == decision, 'accepted, but the log differs'
        await trio.sleep(IN_FORCE_WITHIN_S)
        for other in world.hosts.values():
            reachable = not (host.is_unreachable(9) or other.is_unreachable(9))
            caught_up = other.control.progress.caught_up
            if host.name in world.hosts and reachable and caught_up:
                world.count('seen in force')
                is_decided = other.control.folded_state.is_decided(
                    record.request
                )
                assert is_decided, 'accepted, but not in force everywhere'
        return


def draw_record(world, control):
    random = world.random
    world.submitted += 1
    name = f'r{world.submitted}'
    moves = list(control.folded_state.moves.table.by_id) or ['none']
    zone = random.choice(ZONES)
    service = random.choice(SERVICES)
    current = control.folded_state.moves.versions.settled.get(service, 'v0')
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
        lambda: version(name, current, newer, service, finish_by),
        lambda: CloseMove(
            name, random.choice(moves[-3:]), VerdictKind.FINISHED, 'done'
        ),
        lambda: close_rolled_back(name, random.choice(moves[-3:])),
    )
    record = random.choice(draws)()
    by_id = control.folded_state.moves.table.by_id
    if isinstance(record, CloseMove) and isinstance(
        by_id.get(record.move), ZoneMove
    ):
        return out(name, zone)
    return record


async def inject_faults(world):
    """Inject random faults, often several at once."""
    random = world.random
    while True:
        await trio.sleep(random.uniform(0, 6))
        settings = LogStoreSettings(retention_ms=RETENTION_S * 1000)
        if random.random() < 0.3:
            settings.outage = random.choice((Outage.REFUSE, Outage.HANG_UP))
            world.count('outage')
        if random.random() < 0.3:
            settings.lose_answers = random.randrange(1, 6)
        if random.random() < 0.3:
            settings.delay_ms = random.randrange(1500)
        if random.random() < 0.3 and world.hosts:
            random.choice(list(world.hosts.values())).scope.cancel()
        world.store.apply_settings(settings)
        if random.random() < 0.2 and settings.outage is Outage.NONE:
            await append_malformed(world, b'{"type":1}')


async def append_malformed(world, body):
    """Append a malformed record."""
    try:
        await world.store.append('control', msgspec.Raw(body))
    except FAILURES:
        world.count('injected')
    world.observe()


async def read_late(world):
    """Start a reader that sees only the records the log still retains."""
    host = Host('late')
    late_reader = host.control
    page = await make_log(world, host).read('control', 0, 0)
    late_reader.apply_page(page)
    assert late_reader.progress.caught_up, 'no usable checkpoint is left'
    world.check(host)
    assert late_reader.next_offset == world.reference.next_offset
    return page.first_offset


async def run_world(seed):
    """Run with faults, then without, and check that all hosts agree.

    Returns:
        The number of events of each kind.
    """
    # Trio schedules tasks in random order; a seed must reproduce its run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random = Random(seed)
    store = LogStore(
        lambda: int(trio.current_time() * 1000),
        LogStoreSettings(retention_ms=RETENTION_S * 1000),
    )
    world = World(random, store)
    timers = make_timers(wall_clock=trio.current_time)
    async with trio.open_nursery() as nursery:
        for number in range(HOSTS):
            nursery.start_soon(run_host, world, number, timers)
        with trio.move_on_after(RUN_DURATION_S):
            async with trio.open_nursery() as chaos:
                chaos.start_soon(submit_records, world, nursery)
                chaos.start_soon(inject_faults, world)
        store.apply_settings(LogStoreSettings(retention_ms=RETENTION_S * 1000))
        world.faults_ended = True
        await trio.sleep(2 * RETENTION_S)
        # From here on nothing is appended, and the peers have to suffice.
        store.apply_settings(
            LogStoreSettings(
                outage=Outage.REFUSE, retention_ms=RETENTION_S * 1000
            )
        )
        await trio.sleep(IN_FORCE_WITHIN_S)
        assert not any(map(world.is_behind, world.hosts.values()))
        store.apply_settings(LogStoreSettings(retention_ms=RETENTION_S * 1000))
        if await read_late(world):
            world.count('late reader of a suffix')
        nursery.cancel_scope.cancel()
    world.counts['records'] = world.reference.next_offset
    world.counts['malformed'] = world.reference.malformed_inputs
    return world.counts


if __name__ == '__main__':
    import sys

    from trio.testing import MockClock

    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        clock = MockClock(autojump_threshold=0)
        print(number, trio.run(run_world, number, clock=clock), flush=True)
