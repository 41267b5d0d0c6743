"""Rules of the control stream: the decision on each record, and the state."""

import json

import attrs
import msgspec
import pytest
import trio
from control_records import (
    FAULTY,
    LISTS,
    back,
    checkpoint,
    close_rolled_back,
    finish,
    fold_all,
    out,
    publish,
    take_back,
    to_record,
    version,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonystream._timers import make_timers
from ebonystream.configuration import (
    ControlReplica,
    Following,
    mark_caught_up_with_peers,
)
from ebonystream.configuration._catch_up import find_newest_offset
from ebonystream.configuration._decisions import MAX_DECISIONS
from ebonystream.configuration._depth import measure_depth
from ebonystream.configuration._state import dump_state
from ebonystream.logservice import LogPage
from ebonystream.move import Confirmation

PUBLISH_PREFIX = b'{"type":"publish","request":"r","based_on":0,"lists":'
DEEPLY_NESTED = PUBLISH_PREFIX + b'{"a":' * 100_000 + b'0' + b'}' * 100_001


def list_rejections(control):
    decisions = control.folded_state.decisions
    return {
        request: decisions.rejections[request].reason
        for request, decision in decisions.by_request.items()
        if not decision.accepted
    }


@pytest.mark.parametrize(
    ('records', 'rejected'),
    [
        ([publish('p', 0)], {}),
        ([publish('p', 0), publish('p', 0)], {}),
        (
            [publish('p', 0), publish('q', 0)],
            {'q': 'based on version 0, but version 1 is in force'},
        ),
        (
            [publish('p', 1), publish('q', 0), publish('p', 1)],
            {'p': 'based on version 1, but version 0 is in force'},
        ),
        (
            [publish('p', 0, FAULTY)],
            {
                'p': '$: Value error, customer verein has the plan silver,'
                ' which is not in plans'
            },
        ),
        (
            [publish('p', 0, {'customers': [], 'plans': [{'plan': 3}]})],
            {
                'p': '$.plans.0.plan: Input should be a valid string; '
                '$.plans.0.plan_class: Field required; '
                '$.plans.0.calls_per_second: Field required; '
                '$.plans.0.burst_calls: Field required; '
                '$.plans.0.deadline_ms: Field required; '
                '$.plans.0.routes: Field required'
            },
        ),
        ([out('m')], {}),
        ([out('m'), out('m')], {}),
        ([out('m'), out('n')], {'n': 'zone a is out already'}),
        ([out('m'), out('n', 'b')], {}),
        ([back('m')], {'m': 'zone a is not out'}),
        ([out('m'), back('n'), back('o')], {'o': 'zone a is not out'}),
        ([out('m'), back('n'), out('o')], {}),
        ([out('m'), finish('f', 'm'), back('n')], {}),
        (
            [out('m'), finish('f', 'm'), finish('g', 'm')],
            {'g': 'move m is finished already'},
        ),
        (
            [out('m'), finish('f', 'm'), take_back('t', 'm')],
            {'t': 'move m is finished already'},
        ),
        (
            [out('m'), take_back('t', 'm'), finish('f', 'm')],
            {'f': 'move m is taken_back already'},
        ),
        (
            [out('m'), close_rolled_back('c', 'm')],
            {'c': 'm moves a zone: only operators take it back'},
        ),
        (
            [out('m'), back('n'), take_back('t', 'n')],
            {'t': 'n brings a zone back: ask for the zone out'},
        ),
        ([finish('f', 'm')], {'f': 'there is no move m'}),
        ([version('m')], {}),
        (
            [version('m'), version('n', new='v3')],
            {'n': 'scans is in move m already'},
        ),
        ([version('m'), version('n', service='sales')], {}),
        ([version('m'), finish('f', 'm'), version('n', 'v2', 'v3')], {}),
        (
            [version('m'), finish('f', 'm'), version('n', 'v1', 'v3')],
            {'n': 'scans stands at v2, not v1'},
        ),
        (
            [version('m'), close_rolled_back('c', 'm'), version('n')],
            {'n': 'scans v2 was taken back for good'},
        ),
        (
            [version('m'), take_back('t', 'm'), version('n')],
            {'n': 'scans v2 was taken back for good'},
        ),
        (
            [version('m'), close_rolled_back('c', 'm'), finish('f', 'm')],
            {'f': 'move m is taken_back already'},
        ),
        (
            [version('m', 'v1', 'v1')],
            {'m': 'scans is to move from v1 to itself'},
        ),
        (
            [version('m', finish_by=1000)],
            {'m': 'finish_by_ms 1000 is past at 1000'},
        ),
    ],
)
def test_rejections(records, rejected):
    assert list_rejections(fold_all(ControlReplica(), records)) == rejected


@pytest.mark.parametrize(
    ('records', 'zones_out', 'returned_at'),
    [
        ([out('m')], {'a'}, None),
        ([out('m'), back('n')], set(), 1),
        ([out('m'), take_back('t', 'm')], set(), 1),
        ([out('m'), finish('f', 'm'), back('n')], set(), 2),
        ([out('m'), back('n'), out('o')], {'a'}, 1),
        ([out('m'), out('n', 'b'), back('o')], {'b'}, 2),
    ],
)
def test_evacuated_zones(records, zones_out, returned_at):
    control = fold_all(ControlReplica(), records)
    assert {zone for zone in 'ab' if control.is_evacuated(zone)} == zones_out
    returns = control.folded_state.moves.zones.returns
    assert (returns['a'].offset if 'a' in returns else None) == returned_at


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'{"type":"other"}',
        b'{"type":"publish","request":"","based_on":0,"lists":{}}',
        b'{"type":"ask_zone_move","request":"r","zone":"","direction":"out"}',
        b'{"type":"ask_zone_move","request":"r","zone":"a","direction":"up"}',
        b'{"type":"publish","request":"\xff"}',
        PUBLISH_PREFIX + b'{"a":1e999}}',
        DEEPLY_NESTED,
        b'{"type":"checkpoint","state":{}}',
    ],
    ids=lambda body: body[:40].decode('latin-1'),
)
def test_malformed_record_is_counted(body):
    control = fold_all(ControlReplica(), [body, publish('p', 0)])
    assert (control.malformed_inputs, control.version, control.next_offset) == (
        1,
        1,
        2,
    )


json_values = st.recursive(
    st.none() | st.text(alphabet='a"\\\\[]{}é\n'),
    lambda inner: st.lists(inner) | st.dictionaries(st.text('[{"\\\\'), inner),
)


@settings(derandomize=True, deadline=None, database=None)
@given(json_values, st.booleans())
def test_depth_equals_that_of_the_decoded_value(value, ascii_only):
    def measure(part):
        if isinstance(part, dict):
            part = list(part.values())
        if not isinstance(part, list):
            return 0
        return 1 + max(map(measure, part), default=0)

    encoded = json.dumps(value, ensure_ascii=ascii_only).encode()
    assert measure_depth(encoded) == measure(value)


def test_second_record_with_the_same_id_is_ignored():
    control = fold_all(ControlReplica(), [out('m'), out('m', 'b')])
    decision = control.folded_state.decisions.get('m')
    assert decision.accepted
    assert not control.is_evacuated('b')


@pytest.mark.parametrize(
    ('records', 'retained'),
    [
        ([out('m')], True),
        ([version('m')], True),
        ([out('m'), finish('f', 'm')], False),
        ([publish('m', 7)], False),
    ],
)
def test_decision_on_an_open_move_is_not_evicted(records, retained):
    control = fold_all(ControlReplica(), records)
    later = [publish(f'p{number}', 9) for number in range(MAX_DECISIONS + 9)]
    fold_all(control, later, control.next_offset)
    decisions = control.folded_state.decisions
    assert (decisions.get('m') is not None) is retained
    assert len(decisions.by_request) == MAX_DECISIONS
    assert len(decisions.rejections) <= MAX_DECISIONS


HISTORY = [publish('p', 0), out('m'), version('n'), close_rolled_back('c', 'n')]


def make_page(records, *, first, following=()):
    log_records = [
        to_record(offset, record)
        for offset, record in enumerate(records, first)
    ]
    return LogPage(
        first_offset=first,
        next_offset=first + len(records),
        records=tuple(log_records),
    )


def dump(control):
    return dump_state(control.folded_state, control.next_offset)


@pytest.mark.parametrize(
    ('suffix', 'following', 'next_offset'),
    [
        ([], Following.MISSING_RECORDS, 0),
        ([out('x', 'b')], Following.MISSING_RECORDS, 0),
        (['checkpoint'], Following.FOLDING, 5),
        (['checkpoint', out('x', 'b')], Following.FOLDING, 6),
        ([out('x', 'b'), 'checkpoint'], Following.FOLDING, 6),
        ([out('x', 'b'), 'void'], Following.MISSING_RECORDS, 0),
        (['checkpoint', 'void', out('x', 'b')], Following.FOLDING, 7),
        (['other schema'], Following.MISSING_RECORDS, 0),
    ],
)
def test_reader_of_a_suffix(suffix, following, next_offset):
    full_reader = fold_all(ControlReplica(), HISTORY)
    first = full_reader.next_offset
    records = []
    for entry in suffix:
        state = dump(full_reader)
        if entry == 'void':
            state = msgspec.structs.replace(state, next=state.next - 1)
        elif entry == 'other schema':
            state = msgspec.structs.replace(state, schema=0)
        record = checkpoint(state) if isinstance(entry, str) else entry
        full_reader.fold(to_record(full_reader.next_offset, record))
        records.append(record)
    late_reader = ControlReplica()
    late_reader.apply_page(make_page(records, first=first))
    assert late_reader.progress.following is following
    assert late_reader.next_offset == next_offset
    assert late_reader.progress.cursor == full_reader.next_offset
    assert late_reader.progress.caught_up is (following is Following.FOLDING)
    if following is Following.FOLDING:
        assert dump(late_reader) == dump(full_reader)


def test_checkpoint_that_differs_fails_an_assertion():
    other = fold_all(ControlReplica(), [publish('q', 0), *HISTORY[1:]])
    control = fold_all(ControlReplica(), HISTORY)
    with pytest.raises(AssertionError, match='checkpoint at 4 differs'):
        control.fold(to_record(4, checkpoint(dump(other))))


@pytest.mark.parametrize(
    ('own_records', 'peer_input', 'restored', 'counters'),
    [
        ([], HISTORY, True, (0, 0)),
        (HISTORY[:1], HISTORY, True, (0, 0)),
        (HISTORY, HISTORY, False, (0, 1)),
        (HISTORY, HISTORY[:1], False, (0, 1)),
        (HISTORY, [b'{}'] * 9, False, (0, 1)),
        ([], b'{', False, (1, 0)),
        ([], b'\xff', False, (1, 0)),
        ([], DEEPLY_NESTED, False, (1, 0)),
    ],
    ids=range(8),
)
def test_restore(own_records, peer_input, restored, counters):
    host = fold_all(ControlReplica(), own_records)
    expected = dump(host)
    snapshot = peer_input
    if not isinstance(peer_input, bytes):
        peer = ControlReplica()
        peer.apply_page(make_page(peer_input, first=0))
        expected = dump(peer) if restored else expected
        snapshot = peer.take_snapshot()
    assert host.restore(snapshot) is restored
    assert dump(host) == expected
    assert (host.malformed_inputs, host.stale_snapshots) == counters


def test_only_a_host_that_has_caught_up_serves_and_sends_snapshots():
    host = ControlReplica()
    page = make_page([publish('p', 0), out('m')], first=0)
    host.apply_page(LogPage(0, 2, page.records[:1]))
    assert host.get_plans() is None
    assert host.take_snapshot() is None
    host.apply_page(LogPage(0, 2, page.records[1:]))
    assert host.get_plans().find_plan('verein') is not None
    host.apply_page(LogPage(first_offset=7, next_offset=7, records=()))
    assert host.get_plans() is None
    assert host.progress.following is Following.MISSING_RECORDS


def make_confirmation(next_offset, silent_since=None):
    return Confirmation('peer', 'i', next_offset, {}, silent_since)


@pytest.mark.parametrize(
    ('peers', 'newest_offset', 'caught_up'),
    [
        ([], None, False),
        ([make_confirmation(3)], 3, True),
        ([make_confirmation(2), make_confirmation(3)], 3, True),
        ([make_confirmation(2), make_confirmation(4)], 4, False),
        (
            [make_confirmation(3), make_confirmation(9, silent_since=101)],
            None,
            False,
        ),
        (
            [make_confirmation(3), make_confirmation(9, silent_since=100)],
            3,
            True,
        ),
        ([make_confirmation(3, silent_since=1)], None, False),
        ([make_confirmation(0)], 0, False),
    ],
)
async def test_start_without_the_log(
    autojump_clock, peers, newest_offset, caught_up
):
    assert find_newest_offset(peers, unreachable_before_ms=100) == newest_offset
    host = fold_all(ControlReplica(), HISTORY[:3])
    with trio.move_on_after(0.0005):
        await mark_caught_up_with_peers(
            control=host,
            own_host='self',
            list_confirmations=lambda: [
                attrs.evolve(make_confirmation(99), host='self'),
                *peers,
            ],
            peer_timeout=0,
            timers=make_timers(wall_clock=lambda: 0.1),
        )
    assert host.progress.caught_up is caught_up


def test_lists_are_serialized_unchanged():
    host = fold_all(ControlReplica(), [publish('p', 0)])
    serialized = host.folded_state.published.lists.model_dump(mode='json')
    assert serialized['customers'] == LISTS['customers']
