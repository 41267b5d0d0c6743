"""The rules of version moves, and the test that compares two versions."""

import math
from random import Random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from server_fakes import (
    SERVICE,
    TIMERS,
    make_attempt,
    make_call,
    make_listed_server,
)

from ebonystream._ids import ServerId
from ebonystream.backend import (
    ABANDONED,
    INTERRUPTED,
    NOT_SENT,
    WITHDRAWN,
    Directory,
    ServerPhase,
    ServerState,
)
from ebonystream.move import VerdictKind, VersionMove
from ebonystream.version import (
    ALARM_THRESHOLD,
    GROUPS_PER_STAGE,
    HOLD_THRESHOLD,
    LAST_STAGE,
    STAGES,
    STAKED_FRACTIONS,
    ZERO_LOG_GAINS,
    EvidenceExchange,
    MoveProgress,
    MovesView,
    RouteEvidence,
    RouteProgress,
    RouteStage,
    Sample,
    SequentialTest,
    StoppedMove,
    Tally,
    VersionRules,
    VersionTraffic,
    check_not_stopped,
    compare_with_group,
    compute_log_gains,
    evaluate_version_moves,
    explain_move,
    make_version_begin,
    make_version_gate,
    make_version_observer,
)

MOVE = VersionMove('m', SERVICE, 'v1', 'v2', 100_000, 0, 0)
FAST, SLOW = (
    Sample(failed=False, duration=0.01),
    Sample(failed=False, duration=0.1),
)
FAILED = Sample(failed=True, duration=None)


@given(st.integers(1, 10), st.integers(1, 10))
def test_bets_are_fair(failed, size):
    chance = min(failed, size) / (size + 1)
    hits = compute_log_gains(chance, hit=True)
    misses = compute_log_gains(chance, hit=False)
    for hit, miss in zip(hits, misses, strict=True):
        fair = chance * math.exp(hit) + (1 - chance) * math.exp(miss)
        assert fair == pytest.approx(1)


@pytest.mark.parametrize(
    ('old', 'new', 'failures', 'latency'),
    [
        ([FAST] * 9, FAILED, 1, 0),
        ([FAST] * 9, FAST, 0, -1),
        ([FAST] * 9, SLOW, 0, 1),
        ([SLOW] * 9, FAST, 0, -1),
        ([FAILED] + [FAST] * 8, FAST, -1, -1),
        ([FAILED] * 9, FAILED, 0, 0),
        ([FAILED], FAST, -1, 0),
        ([FAST], Sample(failed=False, duration=None), 0, 0),
    ],
)
def test_comparison_with_a_group(old, new, failures, latency):
    tally = compare_with_group(old, new)
    signs = [
        (gains[0] > 0) - (gains[0] < 0)
        for gains in (tally.failure_gains, tally.latency_gains)
    ]
    assert (signs, tally.groups) == ([failures, latency], 1)


@pytest.mark.parametrize(
    ('good', 'group', 'new', 'max_groups'),
    [
        (0, [FAST] * 9, FAILED, 8),
        (1000, [FAST] * 9, FAILED, 8),
        (0, [FAST] * 9, SLOW, 8),
        (1000, [FAST] * 9, SLOW, 8),
        (1000, [FAST], FAILED, 30),
    ],
)
def test_late_fault_is_detected_as_quickly(good, group, new, max_groups):
    tests = (SequentialTest(), SequentialTest())
    groups = 0
    for _ in range(good):
        add_to(tests, compare_with_group(group, FAST))
    while not any(test.is_alarm_reached for test in tests):
        add_to(tests, compare_with_group(group, new))
        groups += 1
    assert groups <= max_groups


def add_to(tests, tally):
    for test, gains in zip(
        tests, (tally.failure_gains, tally.latency_gains), strict=True
    ):
        test.add(gains)


@pytest.mark.parametrize(
    ('elapsed_share', 'groups', 'calls', 'stage'),
    [
        (0.05, 999, 999, 0),
        (0.1, GROUPS_PER_STAGE, 999, 1),
        (0.1, GROUPS_PER_STAGE - 1, 999, 0),
        (0.16, 10, 999, 1),
        (0.16, 8, 999, 0),
        (0.16, 0, 10, 1),
        (9, 999, 999, 1),
    ],
)
def test_stages_require_time_and_evidence(elapsed_share, groups, calls, stage):
    route = RouteStage(calls=calls, groups=groups)
    route.advance(elapsed_share)
    assert route.index == stage


class Host:
    """One host's rules of version moves, called directly."""

    def __init__(self, *, rolled_back=(), settled=None, moves=(MOVE,)):
        self.directory = Directory()
        self.directory.replace(
            make_listed_server(f'{version}-{number}', version=version)
            for version in ('v1', 'v2')
            for number in range(2)
        )
        for server in self.directory.servers.values():
            server.lifecycle.phase = ServerPhase.SERVING
        self.moves = list(moves)
        self.notifications = 0
        self.traffic = VersionTraffic(
            view=MovesView(
                list_moves=lambda: tuple(self.moves),
                find_settled_version=lambda service: settled,
                is_rolled_back=lambda service, version: version in rolled_back,
            ),
            directory=self.directory,
        )
        self.rules = VersionRules(
            traffic=self.traffic,
            has_room=lambda call, server: server.in_flight < 2,
            timers=TIMERS,
            notify_peers=self._notify,
        )
        self.exchange = EvidenceExchange(self.traffic)
        self.gate = make_version_gate(self.rules)
        self.begin = make_version_begin(self.rules)
        self.observe = make_version_observer(self.rules)
        self.traffic.refresh(0)

    def _notify(self):
        self.notifications += 1

    @property
    def progress(self):
        """The progress of the move."""
        return self.traffic.progress[MOVE.id]

    def list_versions(self, call):
        """List the versions that a call may be sent to."""
        servers = self.directory.servers.values()
        return {server.version for server in servers if self.gate(call, server)}

    def count_new(self):
        """Count those of 1000 calls that may be sent to the new version."""
        calls = [make_call(now=number / 7) for number in range(1000)]
        return sum('v2' in self.list_versions(call) for call in calls)


CALL = make_call()


@pytest.mark.parametrize(
    ('options', 'versions'),
    [
        ({'moves': ()}, {'v1'}),
        ({'moves': (), 'settled': 'v2'}, {'v2'}),
        ({'moves': (), 'settled': 'v9'}, {'v1', 'v2'}),
        ({'moves': (), 'settled': 'v9', 'rolled_back': ('v2',)}, {'v1'}),
        ({'rolled_back': ('v2',)}, {'v1'}),
    ],
)
def test_current_version_without_a_move(options, versions):
    assert Host(**options).list_versions(CALL) == versions


@pytest.mark.parametrize(
    ('stage', 'min_calls', 'max_calls'),
    [(0, 10, 35), (3, 160, 240), (5, 450, 550), (7, 1000, 1000)],
)
def test_traffic_share_of_the_new_version(stage, min_calls, max_calls):
    host = Host()
    host.progress.record_old('check', 0, FAST)
    host.progress.routes['check'].stage.index = stage
    assert min_calls <= host.count_new() <= max_calls


def test_calls_fall_back_to_the_old_version_if_the_new_one_is_full():
    host = Host()
    host.progress.record_old('check', 0, FAST)
    host.progress.routes['check'].stage.index = len(STAGES) - 1
    assert host.list_versions(CALL) == {'v2'}
    for server in host.directory.servers.values():
        server.in_flight = 2
    assert host.list_versions(CALL) == {'v1', 'v2'}


OK = make_attempt()
REFUSED = make_attempt(refused=True)
REFUSED_DRAINING = make_attempt(ServerState.DRAINING, refused=True)


@pytest.mark.parametrize(
    ('attempt', 'failed'),
    [
        (OK, False),
        (INTERRUPTED, True),
        (NOT_SENT, True),
        (REFUSED, True),
        (REFUSED_DRAINING, None),
        (WITHDRAWN, None),
        (ABANDONED, None),
    ],
)
async def test_sample_of_an_attempt(autojump_clock, attempt, failed):
    host = Host()
    server = host.directory.servers[ServerId('v1-0')]
    host.observe(make_call(), server, attempt, 0.01)
    route = host.progress.routes.get('check')
    samples = [] if route is None else list(route.sample_pools[0].samples)
    assert [sample.failed for sample in samples] == (
        [] if failed is None else [failed]
    )


async def test_stopped_version_receives_no_more_calls(autojump_clock):
    host = Host()
    old = host.directory.servers[ServerId('v1-0')]
    new = host.directory.servers[ServerId('v2-0')]
    assert host.begin(CALL, new)
    for _ in range(8):
        for _ in range(9):
            host.observe(make_call(), old, OK, 0.01)
        host.observe(make_call(), new, INTERRUPTED, 0.01)
    assert 'fails more often' in host.progress.stop_reason
    assert host.notifications == 1
    assert host.count_new() == 0
    assert not host.begin(CALL, new)
    assert host.begin(CALL, old)
    with pytest.raises(AssertionError, match='after the version was stopped'):
        check_not_stopped(host.rules, new)


async def test_stopped_version_is_no_fallback_for_the_old_one(autojump_clock):
    host = Host()
    host.progress.stop('it fails')
    for server in host.directory.servers.values():
        server.leaving = server.version == 'v1'
    assert host.list_versions(CALL) == {'v1'}


async def test_move_is_complete_after_all_routes(autojump_clock):
    progress = MoveProgress(move='m', asked_ms=0, finish_by_ms=100)
    for route in ('check', 'sell'):
        progress.record_old(route, 0, FAST)
    progress.advance(90)
    assert not progress.is_complete
    progress.routes['check'].stage.index = len(STAGES) - 1
    progress.routes['sell'].stage.calls = 999
    progress.advance(90)
    assert not progress.is_complete
    progress.routes['sell'].stage.index = len(STAGES) - 1
    assert progress.is_complete


async def test_peers_stop_a_stopped_move(autojump_clock):
    host, peer, unaware = Host(), Host(), Host(moves=())
    host.progress.stop('it fails')
    for other in (peer, unaware):
        other.exchange.apply_stopped_moves(host.exchange.list_stopped_moves())
    assert peer.count_new() == 0
    unaware.moves.append(MOVE)
    unaware.traffic.refresh(0)
    assert unaware.count_new() == 0


async def test_evidence_of_a_peer_is_added_once(autojump_clock):
    host = Host()
    tally = compare_with_group([FAST] * 9, FAILED)
    total = tally.plus(tally).plus(tally)
    route = RouteEvidence(move=MOVE.id, route='check', tally=total)
    for peer in ('p', 'p', 'p', 'q', 'q'):
        host.exchange.apply_evidence(peer, [route])
    assert host.progress.routes['check'].stage.groups == 2 * total.groups
    assert host.progress.stop_reason is None
    host.exchange.apply_evidence('r', [route])
    assert 'fails more often' in host.progress.stop_reason


@pytest.mark.parametrize(
    'tally',
    [
        Tally(-1),
        Tally(1, (math.inf,) * len(STAKED_FRACTIONS)),
        Tally(1, ZERO_LOG_GAINS, (math.nan,) * len(STAKED_FRACTIONS)),
        Tally(1, (1.0,)),
        Tally(1, (1e300,) * len(STAKED_FRACTIONS)),
    ],
)
async def test_malformed_evidence_is_dropped(autojump_clock, tally):
    host = Host()
    evidence = RouteEvidence(move=MOVE.id, route='check', tally=tally)
    host.exchange.apply_evidence('peer', [evidence])
    assert (host.exchange.dropped, host.progress.routes) == (1, {})
    host.exchange.apply_stopped_moves(
        [StoppedMove(move='x', version='v', reason='')] * 99
    )


@pytest.mark.parametrize(
    ('log_gain', 'at_ms', 'verdict'),
    [
        (0, 50_000, None),
        (0, 86_000, VerdictKind.FINISHED),
        (math.log(200), 86_000, None),
        (math.log(200), 101_000, None),
        (math.log(2000), 101_000, VerdictKind.ROLLED_BACK),
        (
            math.log(ALARM_THRESHOLD * len(STAKED_FRACTIONS)),
            1000,
            VerdictKind.ROLLED_BACK,
        ),
    ],
)
async def test_verdicts(autojump_clock, log_gain, at_ms, verdict):
    host = Host()
    gains = (log_gain,) * len(STAKED_FRACTIONS)
    for number in range(len(STAGES)):
        evidence = RouteEvidence(
            move=MOVE.id,
            route='check',
            tally=Tally(GROUPS_PER_STAGE * number, gains),
        )
        host.exchange.apply_evidence('peer', [evidence])
        host.traffic.refresh(at_ms)
    requested = []

    async def end_move(move, kind, reason):
        requested.append(kind)
        host.moves.clear()

    timers = type(TIMERS)(epoch_offset=at_ms / 1000 - trio.current_time())
    with trio.move_on_after(1):
        await evaluate_version_moves(
            traffic=host.traffic,
            end_move=end_move,
            timers=timers,
            random=Random(1),
        )
    assert requested == ([] if verdict is None else [verdict])


def make_route(**stage):
    return RouteProgress(stage=RouteStage(**stage))


LAST = make_route(index=LAST_STAGE)
ON_HOLD = RouteProgress(
    failure_test=SequentialTest(
        log_wealth=(math.log(HOLD_THRESHOLD),) * len(STAKED_FRACTIONS)
    )
)


@pytest.mark.parametrize(
    ('routes', 'stop_reason', 'now_ms', 'explanation'),
    [
        ({}, None, 0, '10.0 s left'),
        (
            {'check': RouteProgress()},
            None,
            400,
            'route check at 2% of its calls, grows in 0.6 s at the earliest; '
            '9.6 s left',
        ),
        (
            {'check': make_route(index=1, groups=3), 'buy': LAST},
            None,
            2000,
            'route buy at 100% of its calls; route check at 5% of its calls, '
            'waits for evidence: 3 of at most 20 groups; 8.0 s left',
        ),
        (
            {'buy': LAST},
            None,
            12500,
            'route buy at 100% of its calls; 2.5 s late',
        ),
        (
            {'check': ON_HOLD},
            None,
            5000,
            'route check at 2% of its calls, held by evidence against the '
            'new version; 5.0 s left',
        ),
        (
            {'check': RouteProgress()},
            'why',
            400,
            'stopped: why; waits for the verdict in the log',
        ),
    ],
)
def test_explanation_of_a_move(routes, stop_reason, now_ms, explanation):
    progress = MoveProgress(
        move='m',
        asked_ms=0,
        finish_by_ms=10000,
        stop_reason=stop_reason,
        routes=routes,
    )
    assert explain_move(progress, now_ms) == explanation
