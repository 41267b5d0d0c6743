"""Randomised runs keep all invariants, and fail once a mechanism is broken.

Longer runs: `make soak SEEDS=0-99`. One seed: `make soak SEEDS=17-17`.
"""

import re

import control_run
import pytest
import trio
from seeds import read_seeds
from trio.testing import MockClock

from ebonystream.configuration import _checkpointing, _submission
from ebonystream.configuration._control import ControlReplica
from ebonystream.configuration._decisions import Decision
from ebonystream.configuration._folded_state import FoldedState
from ebonystream.configuration._progress import StreamProgress
from ebonystream.configuration._published import PublishedLists
from ebonystream.configuration._records import decode_state
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move import _finishing
from ebonystream.move._confirmation import list_waiting_hosts
from ebonystream.move._moves import Moves
from ebonystream.move._table import MoveTable
from ebonystream.move._versions import Versions
from ebonystream.move._zones import Zones

CI_SEEDS = '0-3'
SEEDS_OF_MUTATIONS = range(2)
EXPECTED_EVENTS = (
    'accepted',
    'checked out',
    'late reader of a suffix',
    'malformed',
    'seen in force',
    'snapshot refused',
    'snapshot restored',
)


def run(seed):
    clock = MockClock(autojump_threshold=0)
    return trio.run(control_run.run_world, seed, clock=clock)


@pytest.mark.parametrize('seed', read_seeds(CI_SEEDS))
def test_run(seed):
    try:
        counts = run(seed)
    except BaseException:
        print(f'repeat with: make soak SEEDS={seed}-{seed}')
        raise
    assert [event for event in EXPECTED_EVENTS if not counts.get(event)] == []


def find_any(table, move):
    return table.by_id.get(move) or table.get(move)


def reject_some_publishes(published, record):
    PUBLISHED.append(record)
    if len(PUBLISHED) % 7 == 0:
        raise EbonystreamError(ErrorKind.PUBLISH_REJECTED)
    PUBLISH(published, record)


def skip_undetected(progress, oldest_offset):
    progress.cursor = max(progress.cursor, oldest_offset)


def assume_accepted(control, record):
    decision = control.folded_state.decisions.get(record.request)
    return decision or Decision(record.request, '', True, control.version)


def list_unconfirmed(move, confirmations):
    return tuple(
        host
        for host in list_waiting_hosts(move, confirmations)
        if not host.confirmed
    )


def list_waiting_reachable(move, confirmations):
    reachable = [
        confirmation
        for confirmation in confirmations
        if confirmation.unreachable_since_ms is None
    ]
    return list_waiting_hosts(move, reachable or confirmations[:1])


def restore_unchecked(control, snapshot):
    return control._replace_state(decode_state(snapshot))


def advance_unchecked(progress, offset):
    progress.next_offset = offset


PUBLISHED = []
PUBLISH = PublishedLists.publish
RESTORE_UNCHECKED = (ControlReplica, 'restore', restore_unchecked)
ADVANCE_UNCHECKED = (StreamProgress, '_advance', advance_unchecked)


@pytest.mark.parametrize(
    ('patches', 'expected_fault'),
    [
        (
            [(Versions, 'check_move', lambda *_: None)],
            'after it was rolled back',
        ),
        (
            [(Moves, '_check_no_open_move', lambda *_: None)],
            'two open moves of one',
        ),
        ([(Zones, 'apply_move', lambda *_: None)], 'does not match move'),
        ([(MoveTable, 'get_open', find_any)], 'got a second verdict'),
        ([(FoldedState, 'is_decided', lambda *_: False)], 'was decided twice'),
        ([(PublishedLists, 'publish', reject_some_publishes)], 'differs'),
        ([(StreamProgress, 'skip_to', skip_undetected)], 'differs'),
        ([RESTORE_UNCHECKED], 'is before|version of the lists decreased'),
        (
            [RESTORE_UNCHECKED, ADVANCE_UNCHECKED],
            'version of the lists decreased',
        ),
        (
            [(ControlReplica, 'restore', lambda *_: False)],
            'not in force everywhere',
        ),
        (
            [(_submission, '_get_decision', assume_accepted)],
            'accepted, but the log',
        ),
        (
            [(_checkpointing, 'is_due', lambda *_, **__: False)],
            'no usable checkpoint is left',
        ),
        (
            [(_finishing, 'list_waiting_hosts', list_unconfirmed)],
            'finished with',
        ),
        (
            [(_finishing, 'list_waiting_hosts', list_waiting_reachable)],
            'finished with',
        ),
        ([(control_run, 'may_send', lambda *_: True)], 'which is out'),
    ],
    ids=lambda value: value if isinstance(value, str) else value[0][1],
)
def test_mutation_is_detected(monkeypatch, patches, expected_fault):
    for owner, name, mutant in patches:
        monkeypatch.setattr(owner, name, mutant)
    faults = [
        fault for seed in SEEDS_OF_MUTATIONS for fault in list_faults(seed)
    ]
    assert faults, 'no seed failed'
    assert all(re.search(expected_fault, fault) for fault in faults), faults


def list_faults(seed):
    try:
        run(seed)
    except BaseException as error:
        return [str(leaf) for leaf in list_leaves(error)]
    return []


def list_leaves(error):
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for nested in error.exceptions for leaf in list_leaves(nested)]
