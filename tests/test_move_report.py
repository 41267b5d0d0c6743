"""A report on a move says what is true, and who it waits for."""

import pytest
import trio
from control_records import back, condemn, finish, fold_all, out, version

from ebonystream._timers import make_timers
from ebonystream.configuration import Control
from ebonystream.move import (
    Confirmation,
    MoveState,
    ZonesInFlight,
    make_report,
    make_return_watch,
)

HERE = Confirmation('h1', 'i1', 9, {})
BEHIND = Confirmation('h2', 'i2', 0, {})
BUSY = Confirmation('h3', 'i3', 9, {'a': 2, 'b': 7})
GONE = Confirmation('h4', 'i4', 9, {}, silent_since=1234)
NEVER_HEARD = Confirmation('h5', None, 0, {}, silent_since=1000)
MOVED = [version('m'), finish('f', 'm')]
CONDEMNED = [version('m'), condemn('c', 'm')]


def report(records, words, now_ms=5000):
    moves = fold_all(Control(), records).folded.moves
    return make_report(
        moves.table.find('m'),
        words,
        now_ms=now_ms,
        explain=lambda move: f'{move.to_version} has 40 % of the traffic',
    )


@pytest.mark.parametrize(
    ('records', 'words', 'state', 'reason', 'in_flight'),
    [
        (
            [out('m')],
            [HERE],
            MoveState.RUNNING,
            'every host confirmed; the log has no verdict yet',
            0,
        ),
        (
            [out('m')],
            [HERE, BEHIND],
            MoveState.ASKED,
            'host h2, not confirmed',
            0,
        ),
        (
            [out('m')],
            [HERE, BUSY],
            MoveState.RUNNING,
            'host h3, 2 calls in flight',
            2,
        ),
        (
            [out('m')],
            [HERE, BUSY, GONE],
            MoveState.RUNNING,
            'host h3, 2 calls in flight; host h4, unreachable since 1234',
            2,
        ),
        (
            [out('m')],
            [HERE, NEVER_HEARD],
            MoveState.ASKED,
            'host h5, unreachable since 1000, not confirmed',
            0,
        ),
        (
            [out('l'), back('m')],
            [HERE, BUSY],
            MoveState.RUNNING,
            'every host confirmed; the log has no verdict yet',
            0,
        ),
        ([out('m'), finish('f', 'm')], [BEHIND], MoveState.FINISHED, 'done', 0),
        (
            [out('m'), back('n')],
            [BEHIND],
            MoveState.TAKEN_BACK,
            'zone a was asked back',
            0,
        ),
        (
            [version('m')],
            [HERE],
            MoveState.RUNNING,
            'v2 has 40 % of the traffic',
            0,
        ),
        (CONDEMNED, [HERE], MoveState.TAKEN_BACK, 'it fails', 0),
    ],
)
def test_report(records, words, state, reason, in_flight):
    told = report(records, words)
    assert (told.state, told.reason, told.in_flight) == (
        state,
        reason,
        in_flight,
    )


@pytest.mark.parametrize(
    ('records', 'now_ms', 'late', 'finished_ms'),
    [
        ([version('m', finish_by=2000)], 2000, False, None),
        ([version('m', finish_by=2000)], 2001, True, None),
        (MOVED, 99_999, False, 1001),
        ([version('m', finish_by=1001), finish('f', 'm')], 1, False, 1001),
        (
            [version('m', finish_by=1001), out('z'), finish('f', 'm')],
            1,
            True,
            1002,
        ),
        (CONDEMNED, 99_999, False, None),
        ([out('m')], 99_999, False, None),
    ],
)
def test_late(records, now_ms, late, finished_ms):
    told = report(records, [HERE], now_ms)
    assert (told.late, told.finished_ms) == (late, finished_ms)


def test_report_without_any_host_is_asserted():
    with pytest.raises(AssertionError, match='count itself'):
        report([out('m')], [])


@pytest.mark.parametrize(
    ('changes', 'told'),
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
async def test_zone_that_returns_is_told_once(autojump_clock, changes, told):
    control, cold = Control(), []
    timers = make_timers(wall_clock=lambda: trio.current_time() + 1)
    watch = make_return_watch(
        get_moves=lambda: control.folded.moves,
        on_zone_back=cold.append,
        timers=timers,
    )
    control.watch.subscribe(watch)
    for change in changes:
        if isinstance(change, int):
            await trio.sleep(change)
            continue
        # What the host skips, it gets as the snapshot of a peer.
        peer = fold_all(Control(), [])
        peer.restore(control.take_snapshot() or b'')
        ahead = fold_all(peer, change, control.next)
        ahead.progress.caught_up = True
        assert control.restore(ahead.take_snapshot())
        control.progress.caught_up = True
    assert cold == told


@pytest.mark.parametrize(
    ('steps', 'fault'),
    [
        ([('begin', 'a'), ('end', 'a'), ('begin', 'b')], None),
        ([('begin', 'a'), ('end', 'a'), ('end', 'a')], 'more calls ended'),
        ([('begin', 'out')], 'which is out'),
    ],
)
def test_calls_in_flight(steps, fault):
    zones = ZonesInFlight(lambda zone: zone == 'out')
    try:
        for step, zone in steps:
            getattr(zones, step)(zone)
    except AssertionError as error:
        assert fault in str(error)
    else:
        assert fault is None
        assert zones.calls == {'b': 1}
