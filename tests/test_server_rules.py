"""The rules of starting and leaving servers, one case a line."""

from random import Random

import pytest
import trio
from server_fakes import SLOTS, TIMERS, make_attempt, make_call, make_listed

from ebonystream._ids import BootId, Monotonic, ServerId
from ebonystream.backend import (
    ANSWERS_PER_STEP,
    CUT,
    FIRST_ANSWERS,
    HANDOVER,
    NOT_SENT,
    Directory,
    ServerPhase,
    ServerState,
    Sponsorship,
    Standing,
    StandingExchange,
    StartingRules,
    Wants,
    Warmth,
    check_starting,
    chill_zone,
    make_report_taker,
    make_starting_begin,
    make_starting_gate,
    make_starting_observer,
)
from ebonystream.backend._latency import Slowdown, is_far_slower
from ebonystream.call import CallKind

COLD, SERVING = ServerPhase.COLD, ServerPhase.SERVING
WARMING, DRAINING = ServerPhase.WARMING, ServerPhase.DRAINING
CONFIRMING = ServerPhase.CONFIRMING


def make_rules(*, held=True, elsewhere=0, names=('s',)):
    directory = Directory()
    directory.replace([make_listed(name) for name in names])
    rules = StartingRules(
        directory=directory,
        is_held=lambda server: held,
        count_elsewhere=lambda server: elsewhere,
        slots=SLOTS,
        timers=TIMERS,
        wants=Wants(TIMERS),
    )
    return rules, directory.servers[ServerId(names[0])]


def learn(rules, server, *attempts, took=0.0):
    observe = make_starting_observer(rules)
    for attempt in attempts:
        observe(make_call(), server, attempt, took)


OK = make_attempt()
NO_BOOT = make_attempt(boot=None)
NEW = make_attempt(boot='b1')
SAYS_COLD = make_attempt(ServerState.COLD)
SAYS_DRAINING = make_attempt(ServerState.DRAINING)
REFUSES = make_attempt(refused=True)
REFUSES_COLD = make_attempt(ServerState.COLD, refused=True)
REFUSES_DRAINING = make_attempt(ServerState.DRAINING, refused=True)
STEP = FIRST_ANSWERS
WARM = [OK] * (STEP + ANSWERS_PER_STEP)


@pytest.mark.parametrize(
    ('attempts', 'phase', 'limit', 'epoch'),
    [
        ([], COLD, 1, 0),
        ([OK] * (STEP - 1), COLD, 1, 0),
        ([OK] * STEP, WARMING, 2, 0),
        (WARM[1:], WARMING, 2, 0),
        (WARM, SERVING, 1, 0),
        ([NO_BOOT] * 2 * STEP, SERVING, 1, 0),
        ([SAYS_COLD] * 3 * STEP, COLD, 1, 0),
        ([OK] * STEP + [SAYS_COLD], COLD, 1, 0),
        ([OK] * STEP + [REFUSES], COLD, 1, 0),
        ([OK] * STEP + [CUT], COLD, 1, 0),
        ([*WARM, REFUSES], SERVING, 1, 0),
        ([*WARM, SAYS_COLD], COLD, 1, 1),
        ([*WARM, REFUSES_COLD], COLD, 1, 1),
        ([*WARM, NEW], COLD, 1, 1),
        ([*WARM, NEW, OK], COLD, 1, 1),
        ([*WARM, CUT], CONFIRMING, 1, 1),
        ([*WARM, NOT_SENT], CONFIRMING, 1, 1),
        ([*WARM, CUT, OK], SERVING, 1, 1),
        ([*WARM, CUT, NEW], COLD, 1, 2),
        ([*WARM, CUT, SAYS_COLD], COLD, 1, 1),
        ([*WARM, CUT, REFUSES], CONFIRMING, 1, 1),
        ([NO_BOOT] * 2 * STEP + [CUT, NO_BOOT], COLD, 1, 1),
        ([*WARM, SAYS_DRAINING, OK, CUT], DRAINING, 1, 0),
        ([*WARM, REFUSES_DRAINING], DRAINING, 1, 0),
        ([*WARM, SAYS_DRAINING, NEW], COLD, 1, 1),
    ],
)
async def test_phase_follows_answers(
    autojump_clock, attempts, phase, limit, epoch
):
    rules, server = make_rules()
    learn(rules, server, *attempts)
    warmth = server.warmth
    assert (warmth.phase, warmth.epoch) == (phase, epoch)
    assert warmth.growth.limit == limit


async def test_time_alone_grows_nothing(autojump_clock):
    rules, server = make_rules()
    learn(rules, server, *[OK] * (STEP - 1))
    await trio.sleep(3600)
    assert (server.warmth.phase, server.warmth.growth.limit) == (COLD, 1)


@pytest.mark.parametrize(
    ('phase', 'held', 'in_hand', 'elsewhere', 'kind', 'room', 'taken'),
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
async def test_who_may_send(
    autojump_clock, phase, held, in_hand, elsewhere, kind, room, taken
):
    rules, server = make_rules(
        held=held, elsewhere=elsewhere, names=('s', 'other')
    )
    rules.directory.servers[ServerId('other')].warmth.phase = SERVING
    server.warmth.phase = phase
    server.in_flight = in_hand
    gate = make_starting_gate(rules)
    call = make_call(kind=kind, room=room)
    assert gate(call, server) is taken
    server.in_flight += 1
    begin = make_starting_begin(rules)
    preferred = kind is CallKind.AT_MOST_ONCE or room < 1
    assert begin(call, server) is (taken or (preferred and phase is COLD))


async def test_a_service_without_lookups_warms_up(autojump_clock):
    rules, server = make_rules(names=('s', 'other'))
    rules.directory.servers[ServerId('other')].warmth.phase = SERVING
    gate = make_starting_gate(rules)
    learn(rules, server, OK)
    assert not gate(make_call(kind=CallKind.AT_MOST_ONCE), server)
    await trio.sleep(0.1)
    assert gate(make_call(kind=CallKind.AT_MOST_ONCE), server)


async def test_any_call_goes_where_all_servers_are_cold(autojump_clock):
    rules, server = make_rules(names=('s', 'other'))
    gate = make_starting_gate(rules)
    assert gate(make_call(kind=CallKind.AT_MOST_ONCE), server)


@pytest.mark.parametrize(
    ('breach', 'message'),
    [
        ('elsewhere', 'bears 1 calls, but has 2'),
        ('sponsor', 'not its sponsor'),
        ('leaving', 'after it was known to leave'),
        ('draining', 'after it was known to leave'),
    ],
)
async def test_a_breach_is_asserted(autojump_clock, breach, message):
    rules, server = make_rules(
        held=breach != 'sponsor', elsewhere=int(breach == 'elsewhere')
    )
    if breach == 'leaving':
        listed = [make_listed('s', leaving=True)]
        rules.directory.replace(listed, TIMERS.now())
    if breach == 'draining':
        server.warmth.drain(TIMERS.now())
    server.in_flight = 1
    await trio.sleep(1.1)
    with pytest.raises(AssertionError, match=message):
        check_starting(rules, server)


async def test_failures_in_a_row_are_spaced(autojump_clock):
    rules, server = make_rules()
    gate = make_starting_gate(rules)
    for pause in (0.1, 0.2, 0.4, 0.8, 1.6, 2, 2):
        learn(rules, server, NOT_SENT)
        await trio.sleep(pause - 0.01)
        assert not gate(make_call(now=TIMERS.now()), server)
        await trio.sleep(0.02)
        assert gate(make_call(now=TIMERS.now()), server)


@pytest.mark.parametrize(
    ('ratio', 'others', 'phase'),
    [(8, 1, COLD), (8, 8, SERVING), (2, 1, SERVING)],
)
async def test_latency_beyond_its_own_past(
    autojump_clock, ratio, others, phase
):
    rules, server = make_rules(names=('s', 'p', 'q'))
    await trio.sleep(1)
    for each in rules.directory.servers.values():
        learn(rules, each, *[OK] * 60, took=0.01)
        assert each.warmth.phase is SERVING
    for _ in range(10):
        for name in ('p', 'q'):
            other = rules.directory.servers[ServerId(name)]
            learn(rules, other, OK, took=0.01 * others)
        learn(rules, server, OK, took=0.01 * ratio)
    assert server.warmth.phase is phase


@pytest.mark.parametrize(
    ('alone', 'lost_at', 'held_at'),
    [(True, None, 0), (False, None, HANDOVER), (False, 1.0, 3.5)],
)
async def test_a_new_sponsor_waits(autojump_clock, alone, lost_at, held_at):
    server = make_listed('s')
    mine = True
    sponsorship = Sponsorship(lambda name: mine, lambda: alone, TIMERS)
    held = []
    for _ in range(20):
        now = TIMERS.now()
        mine = lost_at is None or not lost_at <= now < lost_at + 0.5
        sponsorship.refresh([server])
        if sponsorship.is_held(server):
            held.append(now)
        await trio.sleep(0.25)
    assert held[0] == held_at


LISTED = {
    'stays': ([make_listed('s')], SERVING, 0),
    'moves': ([make_listed('s', port=2)], COLD, 1),
    'version': ([make_listed('s', version='v2')], COLD, 1),
}


@pytest.mark.parametrize('case', LISTED)
async def test_new_in_the_list_is_cold(autojump_clock, case):
    rules, server = make_rules()
    learn(rules, server, *WARM)
    listed, phase, epoch = LISTED[case]
    rules.directory.replace(listed, TIMERS.now())
    warmth = rules.directory.servers[ServerId('s')].warmth
    assert (warmth.phase, warmth.epoch) == (phase, epoch)


async def test_what_returns_begins_a_later_epoch(autojump_clock):
    rules, server = make_rules()
    learn(rules, server, *WARM)
    rules.directory.replace([])
    rules.directory.replace([make_listed('s')])
    warmth = rules.directory.servers[ServerId('s')].warmth
    assert (warmth.phase, warmth.epoch) == (COLD, 1)
    rules.directory.replace([make_listed('s', leaving=True)], TIMERS.now())
    rules.directory.replace([make_listed('s')], TIMERS.now())
    assert (warmth.phase, warmth.epoch) == (COLD, 2)


async def test_a_zone_returns_cold(autojump_clock):
    rules, server = make_rules()
    learn(rules, server, *WARM)
    chill_zone(rules.directory, TIMERS, 'b')
    assert server.warmth.phase is SERVING
    chill_zone(rules.directory, TIMERS, 'a')
    assert server.warmth.phase is COLD


B0, B1 = BootId('b0'), BootId('b1')


@pytest.mark.parametrize(
    ('sent', 'merged'),
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
async def test_merging_with_peers(autojump_clock, sent, merged):
    warmth = Warmth(epoch=1, let_in=1)
    warmth.note_boot(BootId('old'), Monotonic(0))
    warmth.note_boot(B0, Monotonic(0))
    warmth.epoch = 3
    warmth.merge(*sent, Monotonic(1))
    assert (warmth.epoch, warmth.phase) == merged


@pytest.mark.parametrize(
    ('sent', 'merged'),
    [
        ((9, COLD, B0), (9, DRAINING)),
        ((9, COLD, B1), (9, COLD)),
        ((3, COLD, B1), (3, DRAINING)),
    ],
)
async def test_draining_ends_with_a_new_run_alone(autojump_clock, sent, merged):
    warmth = Warmth(epoch=3)
    warmth.note_boot(B0, Monotonic(0))
    warmth.drain(Monotonic(0))
    warmth.merge(*sent, Monotonic(1))
    assert (warmth.epoch, warmth.phase) == merged


async def test_standings_of_peers(autojump_clock):
    rules, server = make_rules()
    exchange = StandingExchange(rules.directory, TIMERS, Random(1))
    exchange.take_standings(
        Standing(server=ServerId(name), epoch=epoch, phase=SERVING, boot=B0)
        for name, epoch in (('s', -1), ('s', 2**80), ('unknown', 1))
    )
    assert (exchange.dropped, server.warmth.phase) == (2, COLD)
    make_report_taker(directory=rules.directory, timers=TIMERS)('s', B0)
    assert exchange.list_standings()[0].boot == B0


SLOWDOWNS = {
    'a pause of this host, beside a fast server': (0.0003, 0.008, 8, False),
    'a server that turned cold': (0.02, 0.3, 4, True),
    'one late answer': (0.02, 0.3, 1, False),
    'a fast server that turned cold': (0.0003, 0.1, 4, True),
}


@pytest.mark.parametrize(
    ('past', 'late', 'answers', 'slower'),
    SLOWDOWNS.values(),
    ids=SLOWDOWNS.keys(),
)
def test_a_lone_server_beside_its_past(past, late, answers, slower):
    """Found by two benches at once: the only server was taken for cold."""
    slowdown = Slowdown()
    for _ in range(100):
        slowdown.add('check', past)
    for _ in range(answers):
        slowdown.add('check', late)
    assert is_far_slower(slowdown, ()) is slower
