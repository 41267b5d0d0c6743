"""Hosts that report usage on a virtual clock, with fakes of what they call."""

from collections import Counter
from types import SimpleNamespace

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.duty import CallResult, TopicTail
from ebonystream.entryhost import HostSettings, UsageSettings
from ebonystream.entryhost._duty import DutyCalls, run_duty
from ebonystream.entryhost._metrics import HostMetrics
from ebonystream.entryhost._usage import make_usage_reporting
from ebonystream.entryhost._usage_counts import (
    send_counts,
    send_last_counts,
    take_counts,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import HostFacts, HostFactTable
from ebonystream.platform import (
    encode_duty_record,
    encode_usage_report,
    find_last_duty_record,
)

EPOCH_S = 1_760_000_000.0
WINDOW_S = 5
LATE_S = 10
LEASE_S = 3
REMOTE_GOSSIP_DELAY_S = 1.2
ADDRESS = ServerAddress('10.0.0.1', 80)


async def wait_until_thawed(frozen, host):
    """Wait while a host is frozen; `frozen` has the event of its end."""
    while host in frozen:
        await frozen[host].wait()


@attrs.define
class FakeStore:
    """One topic; hosts in `cut_off` do not reach it."""

    records: list = attrs.field(factory=list)
    cut_off: set = attrs.field(factory=set)
    lost_responses: int = 0
    calls: Counter = attrs.field(factory=Counter)
    frozen: dict = attrs.field(factory=dict)
    appended: trio.Event = attrs.field(factory=trio.Event)

    async def use(self, host, call):
        """Delay a call, or fail it."""
        self.calls[call] += 1
        await trio.sleep(0.02)
        await wait_until_thawed(self.frozen, host)
        if host in self.cut_off:
            await trio.sleep(1.5)
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'cut')

    async def read(self, host):
        """Read the end of the topic."""
        await self.use(host, 'read')
        content = self.records[-1] if self.records else b''
        return TopicTail(len(self.records), find_last_duty_record(content))

    async def append(self, host, step):
        """Append under a condition."""
        await self.use(host, 'append')
        if step.at != len(self.records):
            return None
        self.records.append(encode_duty_record(step.record))
        self.appended.set()
        self.appended = trio.Event()
        if self.lost_responses:
            self.lost_responses -= 1
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
        return step.at


@attrs.define
class FakeService:
    """Takes reports; `results` are given before it judges calls itself."""

    cut_off: set = attrs.field(factory=set)
    results: list = attrs.field(factory=list)
    delay: float = 0.02
    highest: int = 0
    frozen: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    rejected: set = attrs.field(factory=set)
    accepted: dict = attrs.field(factory=dict)

    async def call(self, host, step):
        """Judge a call."""
        await trio.sleep(0.01)
        await wait_until_thawed(self.frozen, host)
        if host in self.cut_off:
            await trio.sleep(1)
            return CallResult.UNKNOWN
        record = step.record
        now = trio.current_time()
        if now >= step.until:
            return CallResult.UNKNOWN
        self.calls.append((now, host, record.token, record.report.window))
        await trio.sleep(self.delay)
        assert record.token not in self.rejected, 'used again after a 409'
        if self.results:
            result = self.results.pop(0)
            if result is CallResult.FENCED:
                self.rejected.add(record.token)
            return result
        if record.token < self.highest:
            self.rejected.add(record.token)
            return CallResult.FENCED
        self.highest = record.token
        body = record.report.body
        known = self.accepted.setdefault(record.report.window, (body, now))
        assert known[0] == body, 'two counts for one window'
        return CallResult.ACCEPTED


@attrs.define
class Fleet:
    """All hosts of a deployment, and the world that they see."""

    nursery: trio.Nursery
    store: FakeStore = attrs.field(factory=FakeStore)
    service: FakeService = attrs.field(factory=FakeService)
    hosts: dict = attrs.field(factory=dict)
    partitioned: set = attrs.field(factory=set)
    counted: Counter = attrs.field(factory=Counter)
    events: list = attrs.field(factory=list)

    def start_host(self, name, zone='a', *, clock_error=0.0):
        """Start a host, or start it again."""
        address = f'10.0.0.{int(name[1:])}'
        timers = Timers(
            epoch_offset=EPOCH_S + clock_error, boot_clock=trio.current_time
        )
        settings = HostSettings(
            name=name,
            zone=zone,
            caller_endpoint=ADDRESS,
            readiness_endpoint=ADDRESS,
            peer_endpoint=ServerAddress(address, 80),
            seeds=(),
            store_endpoint=ADDRESS,
            limits=None,
            usage=UsageSettings(
                endpoint=ADDRESS, lease=LEASE_S, window=WINDOW_S, late=LATE_S
            ),
        )
        run = f'{trio.current_time():09.3f}'
        host = SimpleNamespace(
            settings=settings,
            timers=timers,
            metrics=HostMetrics(),
            facts=HostFactTable(name, zone),
            incarnation=run,
            leaving=trio.Event(),
            started_at=timers.now(),
            scope=trio.CancelScope(),
            sequence=0,
            usage=make_usage_reporting(settings, run, timers),
            log_event=lambda event, **fields: self.events.append(
                (event, name, fields)
            ),
        )
        self.hosts[name] = host
        self.nursery.start_soon(self._run_host, host)
        return host

    def kill(self, name):
        """End a host at once."""
        self.hosts.pop(name).scope.cancel()

    async def send_last(self, host):
        """Send what a host that shuts down has left."""
        await send_last_counts(host, host.usage, self.make_send(host))

    async def freeze(self, name, duration):
        """Stop a host for a while; its clocks go on."""
        thawed = trio.Event()
        self.store.frozen = self.service.frozen = {name: thawed}
        await trio.sleep(duration)
        self.store.frozen.clear()
        thawed.set()

    def get_holder(self):
        """Return the name of the host that holds the duty."""
        for name, host in self.hosts.items():
            if host.usage.make_facts(trio.current_time()).acting:
                return name
        return None

    def can_reach(self, one, other):
        """Return whether two hosts exchange messages."""
        return (one in self.partitioned) == (other in self.partitioned)

    def make_send(self, host):
        """Make the function that sends counts of a host to another one."""

        async def send(at, message):
            await trio.sleep(0.01)
            await wait_until_thawed(self.store.frozen, host.settings.name)
            for name, target in self.hosts.items():
                if target.settings.peer_endpoint.address == at.address:
                    if self.can_reach(host.settings.name, name):
                        return take_counts(target, target.usage, message)
            return None

        return send

    async def _run_host(self, host):
        name = host.settings.name
        calls = DutyCalls(
            read=lambda hint: self.store.read(name),
            append=lambda step: self.store.append(name, step),
            call=lambda step: self.service.call(name, step),
            encode=encode_usage_report,
        )

        send = self.make_send(host)
        with host.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._gossip, host)
                nursery.start_soon(run_duty, host, host.usage, calls)
                nursery.start_soon(send_counts, host, host.usage, send)

    async def _gossip(self, host):
        while True:
            await wait_until_thawed(self.store.frozen, host.settings.name)
            host.sequence += 1
            now = host.timers.now()
            facts = HostFacts(
                host=host.settings.name,
                incarnation=host.incarnation,
                sequence=host.sequence,
                zone=host.settings.zone,
                address=host.settings.peer_endpoint.address,
                leaving=host.leaving.is_set(),
                store_unreachable=False,
                orders_end=0,
                duty=host.usage.make_facts(now),
            )
            for other in list(self.hosts.values()):
                if self.can_reach(host.settings.name, other.settings.name):
                    self.nursery.start_soon(self._deliver, facts, other)
            await trio.sleep(0.5)

    async def _deliver(self, facts, other):
        """Deliver facts; between zones they pass two leaders."""
        if facts.zone != other.settings.zone:
            await trio.sleep(REMOTE_GOSSIP_DELAY_S)
        now = trio.current_time()
        other.facts.update(facts, now)
        other.usage.hear(facts.duty, now)

    async def serve(self, duration, rate=4):
        """Count requests on all hosts; true totals go to `counted`."""
        ends_at = trio.current_time() + duration
        while trio.current_time() < ends_at:
            for host in list(self.hosts.values()):
                frozen = host.settings.name in self.store.frozen
                if host.leaving.is_set() or frozen:
                    continue
                now = trio.current_time()
                clock = host.usage.schedule.clock
                window = clock.get_window(clock.read(now))
                host.usage.counted.add(window, 'w1')
                self.counted[int((EPOCH_S + now) // WINDOW_S)] += 1
            await trio.sleep(1 / rate)
