"""Who performs a duty: any order of steps, crashes, lost and late messages.

The store and the service are models; a call to either may be executed late or
twice, or its response lost. Hosts freeze, restart and disagree about who
should act.
"""

from itertools import pairwise

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonystream.duty import (
    AppendRecord,
    CallResult,
    DutyHolder,
    Lease,
    LeaseTimes,
    ReadTopic,
    Report,
    Rest,
    Role,
    SendReport,
    TopicTail,
)

LEASE = 3.0
HOSTS = ('a', 'b', 'c')
WINDOW = 5.0
START_S = 1_000
OTHER_ENDS = 1_000_000
FATES = st.sampled_from(['done'] * 8 + ['lost', 'mute', 'late'])
"""What becomes of a call: executed, lost, only its response lost, or executed
late."""


# Methods and rules are described by their names.
# ruff: noqa: D102


@attrs.define
class Store:
    """A topic whose appends are conditional on its end."""

    records: list = attrs.field(factory=list)
    first: int = 0

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, step):
        if step.at != self.end:
            return None
        self.records.append(step.record)
        return step.at

    def read(self):
        record = self.records[-1] if self.records else None
        return TopicTail(self.end, record)


@attrs.define
class Service:
    """A service that judges calls in the order in which they arrive."""

    highest: int = 0
    arrivals: list = attrs.field(factory=list)
    accepted: dict = attrs.field(factory=dict)
    owners: dict = attrs.field(factory=dict)

    def arrive(self, host, record, now):
        self.arrivals.append((now, host, record.token))
        owner = self.owners.setdefault(record.token, host)
        assert owner == host, 'two hosts used one token'
        return self.execute(record)

    def execute(self, record):
        if record.token < self.highest:
            return CallResult.FENCED
        self.highest = record.token
        report = record.report
        body = self.accepted.setdefault(report.window, report.body)
        assert body == report.body, 'two counts for one window'
        return CallResult.ACCEPTED


@attrs.define
class Host:
    """A host that performs one step at a time."""

    name: str
    run: int = 0
    machine: DutyHolder | None = None
    step: object = None
    rejected: set = attrs.field(factory=set)

    def restart(self):
        self.run += 1
        self.step = None
        self.machine = DutyHolder(
            name=self.name,
            incarnation=f'{self.name}{self.run}',
            lease=Lease(LeaseTimes(LEASE)),
        )


class DutyRuns(RuleBasedStateMachine):
    """Hosts that want to perform the duty, with faults at any time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store, self.service = Store(), Service()
        self.late_appends, self.late_calls = [], []
        self.hosts = {name: Host(name) for name in HOSTS}
        for host in self.hosts.values():
            host.restart()

    def get_least_token(self):
        return START_S + int(self.now)

    def make_report(self, host):
        def make(after, emptied_at):
            window = after + 1
            if emptied_at is not None:
                window = max(window, int(emptied_at // WINDOW) + 1)
            if window > self.now // WINDOW:
                return None
            body = f'{host.name}{host.run} {window} {self.now}'.encode()
            return Report(window, body)

        return make

    @rule(name=st.sampled_from(HOSTS), fates=st.lists(FATES, max_size=9))
    def act(self, name, fates):
        for fate in fates:
            self.choose(name, Role.HOLDER)
            self.now += 0.05
            self.perform(name, fate)

    @rule(
        name=st.sampled_from(HOSTS),
        last=st.sampled_from([AppendRecord, SendReport]),
        fates=st.lists(FATES, min_size=1, max_size=2),
    )
    def act_until(self, name, last, fates):
        for _ in range(40):
            self.choose(name, Role.HOLDER)
            self.now += 0.2
            if isinstance(self.hosts[name].step, last):
                self.perform(name, fates[0])
                return self.act(name, fates[1:])
            self.perform(name, 'done')

    @rule(name=st.sampled_from(HOSTS), role=st.sampled_from(Role))
    def freeze_before_step(self, name, role):
        self.choose(name, role)

    def choose(self, name, role):
        host = self.hosts[name]
        if host.step is not None:
            return
        step = host.machine.decide(
            self.now, role, self.make_report(host), self.get_least_token()
        )
        if isinstance(step, AppendRecord):
            host.machine.lease.begin_append(step.at, self.now)
        if isinstance(step, SendReport):
            assert step.record.token not in host.rejected
        host.step = None if isinstance(step, Rest) else step

    def perform(self, name, fate):
        host = self.hosts[name]
        step, host.step = host.step, None
        if isinstance(step, ReadTopic):
            if fate == 'done':
                host.machine.finish_read(self.store.read(), self.now)
            else:
                host.machine.fail_store(self.now)
        elif isinstance(step, AppendRecord):
            self.perform_append(host, step, fate)
        elif isinstance(step, SendReport) and self.now < step.until:
            self.perform_call(host, step.record, fate)

    def perform_append(self, host, step, fate):
        if fate == 'late':
            self.late_appends.append(step)
        if fate in {'done', 'mute'}:
            offset = self.store.append(step)
        if fate == 'done':
            host.machine.finish_append(step, offset, self.now)
        else:
            host.machine.fail_store(self.now)

    def perform_call(self, host, record, fate):
        result = CallResult.UNKNOWN
        if fate in {'done', 'mute'}:
            result = self.service.arrive(host.name, record, self.now)
        elif fate == 'late':
            # It arrived, and is executed after newer calls.
            self.service.arrivals.append((self.now, host.name, record.token))
            self.service.owners.setdefault(record.token, host.name)
            self.late_calls.append(record)
        if fate != 'done':
            result = CallResult.UNKNOWN
        elif result is CallResult.FENCED:
            host.rejected.add(record.token)
        host.machine.finish_call(record, result, self.now)

    @rule(data=st.data())
    def execute_late(self, data):
        if self.late_appends:
            self.store.append(data.draw(st.sampled_from(self.late_appends)))
        if self.late_calls:
            self.service.execute(data.draw(st.sampled_from(self.late_calls)))

    @rule(elapsed=st.sampled_from([0.1, 0.5, 1.0, 3.6, 9.0]))
    def wait(self, elapsed):
        self.now += elapsed

    @rule(name=st.sampled_from(HOSTS))
    def crash(self, name):
        self.hosts[name].restart()

    @rule(sender=st.sampled_from(HOSTS), receiver=st.sampled_from(HOSTS))
    def gossip(self, sender, receiver):
        known = self.hosts[sender].machine.sightings.newest
        self.hosts[receiver].machine.sightings.hear(known, self.now)

    @rule(keeps_end=st.booleans())
    def lose_history(self, keeps_end):
        # Ends before and after a loss never coincide here: the condition of
        # an append can not tell them apart (see the design page).
        lost_count = len(self.store.records)
        self.store.first += lost_count if keeps_end else OTHER_ENDS
        self.store.records.clear()

    @invariant()
    def tokens_never_go_back(self):
        tokens = [token for _, _, token in self.service.arrivals]
        assert tokens == sorted(tokens)

    @invariant()
    def calls_of_two_hosts_are_a_lease_apart(self):
        # Stronger than no A, B, A within a lease.
        calls = self.service.arrivals
        for (before, first, _), (after, second, _) in pairwise(calls):
            assert first == second or after - before >= LEASE


class ClocklessRuns(DutyRuns):
    """Hosts whose time of day is useless, with a store that loses nothing."""

    def get_least_token(self):
        return 1

    def lose_history(self):
        """The topic alone keeps the tokens."""


RUNS = settings(max_examples=300, stateful_step_count=40, deadline=None)
TestDutyRuns = DutyRuns.TestCase
TestDutyRuns.settings = RUNS
TestClocklessRuns = ClocklessRuns.TestCase
TestClocklessRuns.settings = RUNS
