"""Rules on starting and leaving servers, one case per row."""

from random import Random

import pytest
import trio
from server_fakes import (
    SLOTS,
    TIMERS,
    make_attempt,
    make_call,
    make_listed_server,
)

from ebonystream._ids import BootId, Monotonic, ServerId
from ebonystream.backend import (
    HANDOVER_WAIT,
    INTERRUPTED,
    NOT_SENT,
    RESPONSES_PER_STEP,
    RESPONSES_TO_FIRST_STEP,
    Directory,
    ServerLifecycle,
    ServerPhase,
    ServerState,
    Sponsorship,
    Standing,
    StandingExchange,
    StartingRules,
    WantedServers,
    assert_starting_limits,
    make_probe_recorder,
    make_starting_begin,
    make_starting_gate,
    make_starting_observer,
    mark_zone_cold,
)
from ebonystream.backend._slowdown import Slowdown, is_far_slower
from ebonystream.call import CallKind

COLD, SERVING = ServerPhase.COLD, ServerPhase.SERVING
WARMING, DRAINING = ServerPhase.WARMING, ServerPhase.DRAINING
CONFIRMING = ServerPhase.CONFIRMING


def make_rules(*, is_sponsor=True, in_flight_elsewhere=0, names=('s',)):
    directory = Directory()
    directory.replace([make_listed_server(name) for name in names])
    rules = StartingRules(
        directory=directory,
        is_active_sponsor=lambda server: is_sponsor,
        count_in_flight_elsewhere=lambda server: in_flight_elsewhere,
        slots=SLOTS,
        timers=TIMERS,
        wanted=WantedServers(TIMERS),
    )
    return rules, directory.servers[ServerId(names[0])]


def observe_all(rules, server, *attempts, duration=0.0):
    observe = make_starting_observer(rules)
    for attempt in attempts:
        observe(make_call(), server, attempt, duration)


OK = make_attempt()
NO_BOOT = make_attempt(boot=None)
NEW_BOOT = make_attempt(boot='b1')
REPORTS_COLD = make_attempt(ServerState.COLD)
REPORTS_DRAINING = make_attempt(ServerState.DRAINING)
REFUSES = make_attempt(refused=True)
REFUSES_COLD = make_attempt(ServerState.COLD, refused=True)
REFUSES_DRAINING = make_attempt(ServerState.DRAINING, refused=True)
FIRST_STEP = RESPONSES_TO_FIRST_STEP
WARM_UP = [OK] * (FIRST_STEP + RESPONSES_PER_STEP)


@pytest.mark.parametrize(
    ('attempts', 'phase', 'limit', 'epoch'),
    [
        ([], COLD, 1, 0),
        ([OK] * (FIRST_STEP - 1), COLD, 1, 0),
        ([OK] * FIRST_STEP, WARMING, 2, 0),
        (WARM_UP[1:], WARMING, 2, 0),
        (WARM_UP, SERVING, 1, 0),
        ([NO_BOOT] * 2 * FIRST_STEP, SERVING, 1, 0),
        ([REPORTS_COLD] * 3 * FIRST_STEP, COLD, 1, 0),
        ([OK] * FIRST_STEP + [REPORTS_COLD], COLD, 1, 0),
        ([OK] * FIRST_STEP + [REFUSES], COLD, 1, 0),
        ([OK] * FIRST_STEP + [INTERRUPTED], COLD, 1, 0),
        ([*WARM_UP, REFUSES], SERVING, 1, 0),
        ([*WARM_UP, REPORTS_COLD], COLD, 1, 1),
        ([*WARM_UP, REFUSES_COLD], COLD, 1, 1),
        ([*WARM_UP, NEW_BOOT], COLD, 1, 1),
        ([*WARM_UP, NEW_BOOT, OK], COLD, 1, 1),
        ([*WARM_UP, INTERRUPTED], CONFIRMING, 1, 1),
        ([*WARM_UP, NOT_SENT], CONFIRMING, 1, 1),
        ([*WARM_UP, INTERRUPTED, OK], SERVING, 1, 1),
        ([*WARM_UP, INTERRUPTED, NEW_BOOT], COLD, 1, 2),
        ([*WARM_UP, INTERRUPTED, REPORTS_COLD], COLD, 1, 1),
        ([*WARM_UP, INTERRUPTED, REFUSES], CONFIRMING, 1, 1),
        ([NO_BOOT] * 2 * FIRST_STEP + [INTERRUPTED, NO_BOOT], COLD, 1, 1),
        ([*WARM_UP, REPORTS_DRAINING, OK, INTERRUPTED], DRAINING, 1, 0),
        ([*WARM_UP, REFUSES_DRAINING], DRAINING, 1, 0),
        ([*WARM_UP, REPORTS_DRAINING, NEW_BOOT], COLD, 1, 1),
    ],
)
async def test_phase_after_attempts(
    autojump_clock, attempts, phase, limit, epoch
):
    rules, server = make_rules()
    observe_all(rules, server, *attempts)
    lifecycle = server.lifecycle
    assert (lifecycle.phase, lifecycle.epoch) == (phase, epoch)
    assert lifecycle.ramp_up.limit == limit


async def test_limit_is_not_raised_by_time(autojump_clock):
    rules, server = make_rules()
    observe_all(rules, server, *[OK] * (FIRST_STEP - 1))
    await trio.sleep(3600)
    assert (server.lifecycle.phase, server.lifecycle.ramp_up.limit) == (COLD, 1)


@pytest.mark.parametrize(
    (
        'phase',
        'is_sponsor',
        'in_flight',
        'in_flight_elsewhere',
        'kind',
        'time_left',
        'allowed',
    ),
    [
        (COLD, True, 0, 0, CallKind.IDEMPOTENT, 5, True),
        (COLD, False, 0, 0, CallKind.IDEMPOTENT, 5, False),
        (COLD, True, 1, 0, CallKind.IDEMPOTENT, 5, False),
        (COLD, True, 0, 1, CallKind.IDEMPOTENT, 5, False),
        (COLD, True, 0, 0, CallKind.AT_MOST_ONCE, 5, False),
        (COLD, True, 0, 0, CallKind.IDEMPOTENT, 0.1, False),
        (CONFIRMING, True, 0, 0, CallKind.IDEMPOTENT, 5, True),
        (CONFIRMING, False, 0, 0, CallKind.IDEMPOTENT, 5, False),
        (SERVING, False, 9, 9, CallKind.AT_MOST_ONCE, 0.1, True),
        (DRAINING, True, 0, 0, CallKind.IDEMPOTENT, 5, False),
    ],
)
async def test_gate_and_begin(
    autojump_clock,
    phase,
    is_sponsor,
    in_flight,
    in_flight_elsewhere,
    kind,
    time_left,
    allowed,
):
    rules, server = make_rules(
        is_sponsor=is_sponsor,
        in_flight_elsewhere=in_flight_elsewhere,
        names=('s', 'other'),
    )
    rules.directory.servers[ServerId('other')].lifecycle.phase = SERVING
    server.lifecycle.phase = phase
    server.in_flight = in_flight
    gate = make_starting_gate(rules)
    call = make_call(kind=kind, timeout=time_left)
    assert gate(call, server) is allowed
    server.in_flight += 1
    begin = make_starting_begin(rules)
    not_preferred = kind is CallKind.AT_MOST_ONCE or time_left < 1
    may_begin = allowed or (not_preferred and phase is COLD)
    assert begin(call, server) is may_begin


async def test_other_calls_warm_up_an_unused_server(autojump_clock):
    rules, server = make_rules(names=('s', 'other'))
    rules.directory.servers[ServerId('other')].lifecycle.phase = SERVING
    gate = make_starting_gate(rules)
    observe_all(rules, server, OK)
    assert not gate(make_call(kind=CallKind.AT_MOST_ONCE), server)
    await trio.sleep(0.1)
    assert gate(make_call(kind=CallKind.AT_MOST_ONCE), server)


async def test_any_call_may_go_if_all_servers_are_cold(autojump_clock):
    rules, server = make_rules(names=('s', 'other'))
    gate = make_starting_gate(rules)
    assert gate(make_call(kind=CallKind.AT_MOST_ONCE), server)


@pytest.mark.parametrize(
    ('breach', 'message'),
    [
        ('elsewhere', 'limited to 1 calls, but has 2 in flight'),
        ('sponsor', 'not its sponsor'),
        ('leaving', 'after it was known to be leaving'),
        ('draining', 'after it was known to be leaving'),
    ],
)
async def test_breach_is_asserted(autojump_clock, breach, message):
    rules, server = make_rules(
        is_sponsor=breach != 'sponsor',
        in_flight_elsewhere=int(breach == 'elsewhere'),
    )
    if breach == 'leaving':
        listed = [make_listed_server('s', leaving=True)]
        rules.directory.replace(listed, TIMERS.now())
    if breach == 'draining':
        server.lifecycle.drain(TIMERS.now())
    server.in_flight = 1
    await trio.sleep(1.1)
    with pytest.raises(AssertionError, match=message):
        assert_starting_limits(rules, server)


async def test_consecutive_failures_back_off(autojump_clock):
    rules, server = make_rules()
    gate = make_starting_gate(rules)
    for pause in (0.1, 0.2, 0.4, 0.8, 1.6, 2, 2):
        observe_all(rules, server, NOT_SENT)
        await trio.sleep(pause - 0.01)
        assert not gate(make_call(now=TIMERS.now()), server)
        await trio.sleep(0.02)
        assert gate(make_call(now=TIMERS.now()), server)


@pytest.mark.parametrize(
    ('ratio', 'others_ratio', 'phase'),
    [(8, 1, COLD), (8, 8, SERVING), (2, 1, SERVING)],
)
async def test_slowdown_of_one_server_or_of_all(
    autojump_clock, ratio, others_ratio, phase
):
    rules, server = make_rules(names=('s', 'p', 'q'))
    await trio.sleep(1)
    for listed in rules.directory.servers.values():
        observe_all(rules, listed, *[OK] * 60, duration=0.01)
        assert listed.lifecycle.phase is SERVING
    for _ in range(10):
        for name in ('p', 'q'):
            other = rules.directory.servers[ServerId(name)]
            observe_all(rules, other, OK, duration=0.01 * others_ratio)
        observe_all(rules, server, OK, duration=0.01 * ratio)
    assert server.lifecycle.phase is phase


@pytest.mark.parametrize(
    ('is_alone', 'lost_at', 'active_at'),
    [(True, None, 0), (False, None, HANDOVER_WAIT), (False, 1.0, 3.5)],
)
async def test_new_sponsor_waits(autojump_clock, is_alone, lost_at, active_at):
    server = make_listed_server('s')
    is_sponsor = True
    sponsorship = Sponsorship(lambda name: is_sponsor, lambda: is_alone, TIMERS)
    active = []
    for _ in range(20):
        now = TIMERS.now()
        is_sponsor = lost_at is None or not lost_at <= now < lost_at + 0.5
        sponsorship.refresh([server])
        if sponsorship.is_active(server):
            active.append(now)
        await trio.sleep(0.25)
    assert active[0] == active_at


ENTRIES = {
    'unchanged': ([make_listed_server('s')], SERVING, 0),
    'new address': ([make_listed_server('s', port=2)], COLD, 1),
    'new version': ([make_listed_server('s', version='v2')], COLD, 1),
}


@pytest.mark.parametrize('case', ENTRIES)
async def test_changed_entry_is_cold(autojump_clock, case):
    rules, server = make_rules()
    observe_all(rules, server, *WARM_UP)
    listed, phase, epoch = ENTRIES[case]
    rules.directory.replace(listed, TIMERS.now())
    lifecycle = rules.directory.servers[ServerId('s')].lifecycle
    assert (lifecycle.phase, lifecycle.epoch) == (phase, epoch)


async def test_returning_server_begins_a_later_epoch(autojump_clock):
    rules, server = make_rules()
    observe_all(rules, server, *WARM_UP)
    rules.directory.replace([])
    rules.directory.replace([make_listed_server('s')])
    lifecycle = rules.directory.servers[ServerId('s')].lifecycle
    assert (lifecycle.phase, lifecycle.epoch) == (COLD, 1)
    rules.directory.replace(
        [make_listed_server('s', leaving=True)], TIMERS.now()
    )
    rules.directory.replace([make_listed_server('s')], TIMERS.now())
    assert (lifecycle.phase, lifecycle.epoch) == (COLD, 2)


async def test_servers_of_a_returning_zone_are_cold(autojump_clock):
    rules, server = make_rules()
    observe_all(rules, server, *WARM_UP)
    mark_zone_cold(rules.directory, TIMERS, 'b')
    assert server.lifecycle.phase is SERVING
    mark_zone_cold(rules.directory, TIMERS, 'a')
    assert server.lifecycle.phase is COLD


B0, B1 = BootId('b0'), BootId('b1')


@pytest.mark.parametrize(
    ('received', 'merged'),
    [
        ((2, SERVING, B0), (3, COLD)),
        ((3, CONFIRMING, B0), (3, COLD)),
        ((3, SERVING, B0), (3, SERVING)),
        ((4, COLD, B0), (4, COLD)),
        ((4, SERVING, B1), (4, SERVING)),
        ((9, SERVING, BootId('old')), (3, COLD)),
        ((2, DRAINING, B0), (3, DRAINING)),
        ((1, DRAINING, B0), (3, COLD)),
        ((3, DRAINING, None), (3, DRAINING)),
    ],
)
async def test_merge(autojump_clock, received, merged):
    lifecycle = ServerLifecycle(epoch=1, admitted_epoch=1)
    lifecycle.record_boot(BootId('old'), Monotonic(0))
    lifecycle.record_boot(B0, Monotonic(0))
    lifecycle.epoch = 3
    lifecycle.merge(*received, Monotonic(1))
    assert (lifecycle.epoch, lifecycle.phase) == merged


@pytest.mark.parametrize(
    ('received', 'merged'),
    [
        ((9, COLD, B0), (9, DRAINING)),
        ((9, COLD, B1), (9, COLD)),
        ((3, COLD, B1), (3, DRAINING)),
    ],
)
async def test_only_a_new_boot_id_ends_draining(
    autojump_clock, received, merged
):
    lifecycle = ServerLifecycle(epoch=3)
    lifecycle.record_boot(B0, Monotonic(0))
    lifecycle.drain(Monotonic(0))
    lifecycle.merge(*received, Monotonic(1))
    assert (lifecycle.epoch, lifecycle.phase) == merged


async def test_invalid_standings_are_dropped(autojump_clock):
    rules, server = make_rules()
    exchange = StandingExchange(rules.directory, TIMERS, Random(1))
    exchange.merge_standings(
        Standing(server=ServerId(name), epoch=epoch, phase=SERVING, boot=B0)
        for name, epoch in (('s', -1), ('s', 2**80), ('unknown', 1))
    )
    assert (exchange.dropped, server.lifecycle.phase) == (2, COLD)
    make_probe_recorder(directory=rules.directory, timers=TIMERS)('s', B0)
    assert exchange.list_standings()[0].boot == B0


SLOWDOWNS = {
    'pause of this host with a fast server': (0.0003, 0.008, 8, False),
    'server that turned cold': (0.02, 0.3, 4, True),
    'one late response': (0.02, 0.3, 1, False),
    'fast server that turned cold': (0.0003, 0.1, 4, True),
}


@pytest.mark.parametrize(
    ('past', 'late', 'responses', 'is_slower'),
    SLOWDOWNS.values(),
    ids=SLOWDOWNS.keys(),
)
def test_slowdown_of_the_only_server(past, late, responses, is_slower):
    """The only server was once treated as cold when this host paused.

    Two benchmarks on one machine caused the pauses.
    """
    slowdown = Slowdown()
    for _ in range(100):
        slowdown.add('check', past)
    for _ in range(responses):
        slowdown.add('check', late)
    assert is_far_slower(slowdown, ()) is is_slower
