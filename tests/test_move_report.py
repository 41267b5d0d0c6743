"""Reports on moves, notification of returned zones, and counts of calls."""

import pytest
import trio
from control_records import (
    back,
    close_rolled_back,
    finish,
    fold_all,
    out,
    version,
)

from ebonystream._timers import make_timers
from ebonystream.configuration import ControlReplica
from ebonystream.move import (
    Confirmation,
    MoveState,
    ZonesInFlight,
    make_report,
    make_return_notifier,
)

CONFIRMED = Confirmation('h1', 'i1', 9, {})
UNCONFIRMED = Confirmation('h2', 'i2', 0, {})
BUSY = Confirmation('h3', 'i3', 9, {'a': 2, 'b': 7})
UNREACHABLE = Confirmation('h4', 'i4', 9, {}, unreachable_since_ms=1234)
NO_HEARTBEAT = Confirmation('h5', None, 0, {}, unreachable_since_ms=1000)
FINISHED_MOVE = [version('m'), finish('f', 'm')]
ROLLED_BACK_MOVE = [version('m'), close_rolled_back('c', 'm')]


def make_move_report(records, confirmations, now_ms=5000):
    moves = fold_all(ControlReplica(), records).folded_state.moves
    return make_report(
        moves.table.get('m'),
        confirmations,
        now_ms=now_ms,
        explain=lambda move: f'{move.to_version} has 40 % of the traffic',
    )


@pytest.mark.parametrize(
    ('records', 'confirmations', 'state', 'reason', 'in_flight'),
    [
        (
            [out('m')],
            [CONFIRMED],
            MoveState.RUNNING,
            'every host confirmed; the log has no verdict yet',
            0,
        ),
        (
            [out('m')],
            [CONFIRMED, UNCONFIRMED],
            MoveState.ASKED,
            'host h2, not confirmed',
            0,
        ),
        (
            [out('m')],
            [CONFIRMED, BUSY],
            MoveState.RUNNING,
            'host h3, 2 calls in flight',
            2,
        ),
        (
            [out('m')],
            [CONFIRMED, BUSY, UNREACHABLE],
            MoveState.RUNNING,
            'host h3, 2 calls in flight; host h4, unreachable since 1234',
            2,
        ),
        (
            [out('m')],
            [CONFIRMED, NO_HEARTBEAT],
            MoveState.ASKED,
            'host h5, unreachable since 1000, not confirmed',
            0,
        ),
        (
            [out('l'), back('m')],
            [CONFIRMED, BUSY],
            MoveState.RUNNING,
            'every host confirmed; the log has no verdict yet',
            0,
        ),
        (
            [out('m'), finish('f', 'm')],
            [UNCONFIRMED],
            MoveState.FINISHED,
            'done',
            0,
        ),
        (
            [out('m'), back('n')],
            [UNCONFIRMED],
            MoveState.ROLLED_BACK,
            'zone a was asked back',
            0,
        ),
        (
            [version('m')],
            [CONFIRMED],
            MoveState.RUNNING,
            'v2 has 40 % of the traffic',
            0,
        ),
        (ROLLED_BACK_MOVE, [CONFIRMED], MoveState.ROLLED_BACK, 'it fails', 0),
    ],
)
def test_report(records, confirmations, state, reason, in_flight):
    report = make_move_report(records, confirmations)
    assert (report.state, report.reason, report.in_flight) == (
        state,
        reason,
        in_flight,
    )


@pytest.mark.parametrize(
    ('records', 'now_ms', 'late', 'finished_ms'),
    [
        ([version('m', finish_by=2000)], 2000, False, None),
        ([version('m', finish_by=2000)], 2001, True, None),
        (FINISHED_MOVE, 99_999, False, 1001),
        ([version('m', finish_by=1001), finish('f', 'm')], 1, False, 1001),
        (
            [version('m', finish_by=1001), out('z'), finish('f', 'm')],
            1,
            True,
            1002,
        ),
        (ROLLED_BACK_MOVE, 99_999, False, None),
        ([out('m')], 99_999, False, None),
    ],
)
def test_lateness(records, now_ms, late, finished_ms):
    report = make_move_report(records, [CONFIRMED], now_ms)
    assert (report.late, report.finished_ms) == (late, finished_ms)


def test_report_asserts_at_least_one_host():
    with pytest.raises(AssertionError, match='count itself'):
        make_move_report([out('m')], [])


@pytest.mark.parametrize(
    ('changes', 'notified'),
    [
        ([[out('m')]], []),
        ([[out('m')], [back('n')]], ['a']),
        ([[out('m'), back('n')]], ['a']),
        ([[out('m'), back('n')], [out('o'), back('p')]], ['a', 'a']),
        ([[out('m'), back('n')], [out('o')]], ['a']),
        ([[out('m', 'b'), out('n'), back('o', 'b')]], ['b']),
        ([[out('m'), back('n')], 700, [out('o', 'b')]], ['a']),
        ([700, [out('m'), back('n')]], []),
    ],
)
async def test_each_zone_return_is_notified_once(
    autojump_clock, changes, notified
):
    control, returned = ControlReplica(), []
    timers = make_timers(wall_clock=lambda: trio.current_time() + 1)
    notify_returns = make_return_notifier(
        get_moves=lambda: control.folded_state.moves,
        on_zone_return=returned.append,
        timers=timers,
    )
    control.change_notifier.subscribe(notify_returns)
    for change in changes:
        if isinstance(change, int):
            await trio.sleep(change)
            continue
        # The host skips the records and restores the snapshot of a peer.
        peer = fold_all(ControlReplica(), [])
        peer.restore(control.take_snapshot() or b'')
        advanced = fold_all(peer, change, control.next_offset)
        advanced.progress.caught_up = True
        assert control.restore(advanced.take_snapshot())
        control.progress.caught_up = True
    assert returned == notified


@pytest.mark.parametrize(
    ('steps', 'fault'),
    [
        ([('begin', 'a'), ('end', 'a'), ('begin', 'b')], None),
        ([('begin', 'a'), ('end', 'a'), ('end', 'a')], 'more calls ended'),
        ([('begin', 'out')], 'which is out'),
    ],
)
def test_zones_in_flight(steps, fault):
    zones = ZonesInFlight(lambda zone: zone == 'out')
    try:
        for step, zone in steps:
            getattr(zones, step)(zone)
    except AssertionError as error:
        assert fault in str(error)
    else:
        assert fault is None
        assert zones.calls == {'b': 1}
