"""How much a bad version gets, and how often a good one is rolled back."""

from collections import Counter
from random import Random

import attrs
import pytest
from seeds import read_seeds
from versionload import Load, simulate

from ebonystream.versionmove import (
    ALARM_WEALTH,
    AttemptBatch,
    AttemptOutcome,
    FaultCriterion,
    FaultTest,
    MoveEvidence,
    MoveVerdict,
    RouteCounts,
    VersionMove,
)

SEEDS = read_seeds('0-29')
GOOD = 0.004
RUNNING, FINISHED, ROLLED_BACK = MoveVerdict


def run_moves(**load):
    return [simulate(Load(**load), seed) for seed in SEEDS]


@pytest.mark.parametrize(
    ('rate', 'duration', 'lost_share'),
    [
        (40, 12, 0.01),
        (40, 20, 0.01),
        (130, 12, 0.03),
        (130, 20, 0.01),
        (400, 12, 0.03),
        # Too few requests for evidence: the move still finishes.
        (1, 12, 0.01),
        (0.01, 12, 0.01),
    ],
)
def test_good_versions_finish_by_their_deadline(rate, duration, lost_share):
    """Guards against false alarms, and against waiting for evidence."""
    results = run_moves(
        rate=rate, duration=duration, failed_share=GOOD, lost_share=lost_share
    )
    verdicts = Counter(result.verdict for result in results)
    assert verdicts[FINISHED] >= 0.9 * len(SEEDS)
    assert verdicts[ROLLED_BACK] <= 0.04 * len(SEEDS)


@pytest.mark.parametrize(
    ('rate', 'duration', 'failed_share', 'start', 'route', 'misses'),
    [
        (40, 20, 0.1, 0, None, 0.1),
        (40, 12, 0.3, 0.5, None, 0.04),
        (130, 20, 0.05, 0, None, 0.1),
        (130, 20, 0.1, 0.5, None, 0.04),
        (400, 12, 0.05, 0, None, 0),
        (400, 20, 0.05, 0.5, None, 0.04),
        (400, 12, 1, 0.7, None, 0.04),
        (130, 20, 0.3, 0, 's', 0),
        (400, 12, 0.3, 0.5, 's', 0.04),
        # 2,250 requests in 15 s, of which the new version gets at most 275.
        (150, 15, 0.14, 0, None, 0),
        (150, 15, 0.14, 0.5, None, 0.04),
    ],
)
def test_bad_versions_keep_within_their_exposure(
    rate, duration, failed_share, start, route, misses
):
    """Guards against small shares of failures that are found too late."""
    results = run_moves(
        rate=rate,
        duration=duration,
        failed_share=failed_share,
        fault_progress=start,
        fault_route=route,
    )
    over = sum(result.exposed > result.bound for result in results)
    finished = sum(result.verdict is FINISHED for result in results)
    assert over <= misses * len(SEEDS)
    assert finished <= misses * len(SEEDS)
    assert all(result.late_s <= 5 for result in results)


def make_move():
    return VersionMove(
        id='m',
        service='s',
        version='v2',
        started_at=0.0,
        duration=16,
        store_checked=True,
    )


def count(new=0, failed=0, lost=0, old=0, old_failed=0):
    return RouteCounts('r', new, failed + lost, old, old_failed, lost)


@pytest.mark.parametrize(
    ('steps', 'verdict'),
    [
        # A zone or a dependency fails for both versions.
        ([count(60, old=900), count(90, 9, old=1100, old_failed=60)], RUNNING),
        ([count(60, old=900), count(90, 9, old=1100)], ROLLED_BACK),
        # A server of the new version crashes with six requests.
        ([count(30, old=500), count(36, lost=6, old=540)], RUNNING),
        ([count(30, old=500), count(60, lost=30, old=540)], ROLLED_BACK),
        # With all requests at the new version, a burst makes many overdue.
        ([count(900, old=900), count(1200, lost=60, old=900)], RUNNING),
        ([count(900, old=900), count(1200, lost=270, old=900)], ROLLED_BACK),
        # Good results of long ago do not hide a fault that begins now.
        ([count(2000, old=20000), count(2030, 9, old=20200)], ROLLED_BACK),
    ],
)
def test_verdict_on_counts(steps, verdict):
    move = make_move()
    for now, counts in enumerate(steps):
        move.evaluate({'h': (counts,)}, float(4 * now))
    assert move.verdict is verdict


@pytest.mark.parametrize(
    ('updates', 'attempts', 'rejected'),
    [
        ([{'h': 3, 'i': 4}, {'h': 5, 'i': 4}], 9, 0),
        # A host that is gone, and one that has restarted.
        ([{'h': 3, 'i': 4}, {'h': 5}], 9, 0),
        ([{'h': 3}, {'h': 2}, {'h': 4}], 7, 0),
        ([{'h': -3}], 0, 1),
    ],
)
def test_counts_are_added_once(updates, attempts, rejected):
    """Guards against counts that are lost, or added again, with their host."""
    evidence = MoveEvidence()
    for update in updates:
        counts = {host: (count(new),) for host, new in update.items()}
        evidence.update(counts, share=0.1, now=0.0)
    assert (evidence.attempts, evidence.rejected) == (attempts, rejected)


@pytest.mark.parametrize(
    ('completed', 'old', 'now', 'share'),
    [
        # The servers of the new version hang: its share does not grow.
        (0, 400, 15.9, 0.06),
        (300, 400, 15.9, 1),
        (1, 1, 15.9, 1),
    ],
)
def test_share_follows_completed_attempts(completed, old, now, share):
    move = make_move()
    move.evaluate({'h': (count(completed, old=old),)}, 15.9)
    assert move.get_traffic_share(now) == share


def test_evidence_against_a_version_holds_its_share():
    move = make_move()
    move.evaluate({'h': (count(30, 2, old=500),)}, 15.0)
    assert move.verdict is RUNNING
    assert move.get_traffic_share(15.9) == 0.12


def test_false_alarms_of_one_test_stay_below_their_bound():
    """Guards against a test that alarms when it is looked at often."""
    criterion = FaultCriterion('failed', GOOD, (0.02, 0.05, 0.15, 0.5))
    alarms = 0
    for seed in range(200):
        alarms += run_test(criterion, seed)
    assert alarms <= 200 / ALARM_WEALTH * 2


def run_test(criterion, seed):
    random = Random(seed)
    test = FaultTest(criterion)
    for _ in range(2000):
        test.add(AttemptBatch(1, random.random() < GOOD, GOOD))
        if test.wealth >= ALARM_WEALTH:
            return True
    return False


def test_outcomes_are_counted_apart():
    counts = RouteCounts('r')
    for outcome in AttemptOutcome:
        counts.record_attempt(new=True, outcome=outcome)
    assert attrs.astuple(counts) == ('r', 3, 2, 0, 0, 1, 0)
