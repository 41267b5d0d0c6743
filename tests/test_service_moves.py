"""Version moves on the entry host: traffic shares, verdicts and counts."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_samples import make_known

from ebonystream.orders import VersionOrder
from ebonystream.versionmove import (
    MIN_FINISH_PROGRESS,
    MoveVerdict,
    RouteCounts,
    VersionMove,
    VersionMoves,
    find_rollback_reason,
    get_scheduled_share,
    sum_counts,
)

ORDER = VersionOrder(
    id='rollout/records@8', service='records', version='v2', within=16
)
OLD = make_known('i-1', version='v1')
NEW = make_known('i-2', version='v2')
RUNNING, FINISHED, ROLLED_BACK = MoveVerdict


def make_move(**changes):
    fields = {
        'id': ORDER.id,
        'service': 'records',
        'version': 'v2',
        'started_at': 0.0,
        'duration': 16,
        'store_checked': True,
    }
    return VersionMove(**{**fields, **changes})


@pytest.mark.parametrize(
    ('counts', 'bad'),
    [
        ([('r', 20, 0, 200, 2)], False),
        ([('r', 20, 8, 200, 2)], True),
        ([('r', 20, 3, 200, 2)], False),
        # As bad as the old version: the cause lies elsewhere.
        ([('r', 20, 8, 200, 80)], False),
        # Bad on one route only.
        ([('r', 90, 0, 300, 0), ('s', 8, 4, 90, 1)], True),
        # Slightly bad on each of several routes.
        ([('r', 8, 2, 90, 1), ('s', 8, 2, 90, 1)], True),
        ([('r', 100, 4, 100, 0)], False),
        ([], False),
    ],
)
def test_rollback_reason(counts, bad):
    reason = find_rollback_reason(tuple(RouteCounts(*one) for one in counts))
    assert (reason is not None) is bad


@given(st.floats(0, 1.5), st.floats(0, 1.5))
def test_scheduled_share_never_decreases(one, other):
    low, high = sorted((one, other))
    assert 0 <= get_scheduled_share(low) <= get_scheduled_share(high) <= 1


@pytest.mark.parametrize(
    ('within', 'rate', 'share', 'slack', 'detected_after'),
    [(16, 41, 0.1, 50, 1.5), (12, 41, 0.1, 50, 1.2), (16, 80, 0.1, 50, 1.0)],
)
def test_a_late_fault_reaches_few_requests(
    within, rate, share, slack, detected_after
):
    """A fault that appears before the last stages reaches few requests."""
    steps = [number / 100 for number in range(int(within * 100))]
    total = rate * within
    for appears_at in (0, 3, 0.34 * within, 0.46 * within):
        end = appears_at + detected_after
        exposed = sum(
            rate * get_scheduled_share(at / within) / 100
            for at in steps
            if at < end
        )
        assert exposed <= share * total + slack


@pytest.mark.parametrize(
    ('changes', 'now', 'share'),
    [
        ({}, 0.0, 0.06),
        ({}, 15.9, 1),
        ({'store_checked': False}, 15.9, 0),
        ({'verdict': FINISHED}, 0.0, 1),
        ({'verdict': ROLLED_BACK}, 15.9, 0),
    ],
)
def test_traffic_share(changes, now, share):
    assert make_move(**changes).get_traffic_share(now) == share


@pytest.mark.parametrize(
    ('new', 'old', 'now', 'share'),
    [
        (4, 4, 15.9, 1),
        (2, 4, 15.9, 1),
        # Too few new servers: requests stay on the old version.
        (1, 4, 15.9, 0.2),
        (1, 4, 0.0, 0.06),
        (0, 4, 15.9, 0),
        (3, 0, 15.9, 1),
    ],
)
def test_share_is_limited_to_capacity(new, old, now, share):
    servers = [make_known(f'n{one}', version='v2') for one in range(new)]
    servers += [make_known(f'o{one}') for one in range(old)]
    servers.append(make_known('d1', service='desk'))
    moves = VersionMoves()
    moves.update([ORDER], 0.0)
    move = moves.find_by_service('records')
    move.store_checked = True
    moves.update_capacity(servers, now)
    assert move.get_traffic_share(now) == pytest.approx(share)


@pytest.mark.parametrize(
    ('servers', 'verdict', 'draw', 'now', 'chosen'),
    [
        ([OLD, NEW], RUNNING, 0.01, 1.0, ['i-2']),
        ([OLD, NEW], RUNNING, 0.5, 1.0, ['i-1']),
        ([OLD, NEW], RUNNING, 1.0, 15.9, ['i-2']),
        ([OLD], RUNNING, 0.01, 1.0, ['i-1']),
        ([NEW], RUNNING, 0.5, 1.0, []),
        ([OLD, NEW], FINISHED, 1.0, 1.0, ['i-2']),
        ([OLD, NEW], ROLLED_BACK, 0.0, 15.9, ['i-1']),
        ([NEW], ROLLED_BACK, 0.0, 15.9, []),
    ],
)
def test_selected_servers(servers, verdict, draw, now, chosen):
    moves = VersionMoves()
    moves.update([ORDER], 0.0)
    move = moves.find_by_service('records')
    move.store_checked = True
    move.verdict = verdict
    selected = moves.select_servers(
        'records', servers, now=now, version_draw=draw
    )
    assert [server.entry.id for server in selected] == chosen
    assert (
        moves.select_servers('desk', servers, now=now, version_draw=draw)
        == servers
    )


@pytest.mark.parametrize(
    ('orders', 'kept'),
    [
        ([[ORDER]], ['rollout/records@8']),
        ([[ORDER], []], ['rollout/records@8']),
        ([[ORDER], [attrs.evolve(ORDER, id='x@9')]], ['x@9']),
    ],
)
def test_moves_of_orders(orders, kept):
    moves = VersionMoves()
    for ordered in orders:
        moves.update(ordered, 0.0)
    assert list(moves.moves) == kept


@pytest.mark.parametrize(
    ('local', 'reported', 'verdict'),
    [
        (RUNNING, RUNNING, RUNNING),
        (RUNNING, FINISHED, FINISHED),
        (ROLLED_BACK, RUNNING, ROLLED_BACK),
        # The first report prevails over the verdict of this host.
        (ROLLED_BACK, FINISHED, FINISHED),
        (FINISHED, ROLLED_BACK, ROLLED_BACK),
    ],
)
def test_reported_verdicts(local, reported, verdict):
    move = make_move(verdict=local)
    move.apply_report(reported, 3.0)
    assert move.verdict is verdict


def test_counts_of_hosts_add_up():
    one = (RouteCounts('r', 1, 0, 5, 1),)
    other = (RouteCounts('r', 2, 1, 5, 0), RouteCounts('s', 1, 0, 0, 0))
    assert sum_counts([one, other]) == (
        RouteCounts('r', 3, 1, 10, 1),
        RouteCounts('s', 1, 0, 0, 0),
    )


def test_a_move_may_finish_before_its_duration():
    assert MIN_FINISH_PROGRESS < 1
    assert get_scheduled_share(MIN_FINISH_PROGRESS) == 1
