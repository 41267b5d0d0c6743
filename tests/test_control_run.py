"""Long runs hold what must always hold, and go red where a mechanism breaks.

Longer runs: `make soak SEEDS=0-99`. One seed: `make soak SEEDS=17-17`.
"""

import re

import control_run
import pytest
import trio
from seeds import read_seeds
from trio.testing import MockClock

from ebonystream.configuration import _asking, _checkpointing
from ebonystream.configuration._control import Control
from ebonystream.configuration._decisions import Decision
from ebonystream.configuration._folded import Folded
from ebonystream.configuration._progress import Progress
from ebonystream.configuration._published import Published
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
SEEN = (
    'accepted',
    'checked out',
    'late reader of a suffix',
    'seen in force',
    'snapshot refused',
    'snapshot taken',
    'unreadable',
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
    assert [what for what in SEEN if not counts.get(what)] == []


def find_any(table, move):
    return table.by_id.get(move) or table.get(move)


def publish_mostly(published, record):
    PUBLISHED.append(record)
    if len(PUBLISHED) % 7 == 0:
        raise EbonystreamError(ErrorKind.PUBLISH_REJECTED)
    PUBLISH(published, record)


def skip_silently(progress, first):
    progress.cursor = max(progress.cursor, first)


def judge_hopefully(control, record):
    known = control.folded.decisions.find(record.request)
    return known or Decision(record.request, '', True, control.version)


def list_confirming(move, words):
    return tuple(
        one for one in list_waiting_hosts(move, words) if not one.confirmed
    )


def list_reachable(move, words):
    heard = [one for one in words if one.unreachable_since_ms is None]
    return list_waiting_hosts(move, heard or words[:1])


def restore_any(control, snapshot):
    return control._adopt(decode_state(snapshot))


def advance_anywhere(progress, to):
    progress.next = to


PUBLISHED = []
PUBLISH = Published.publish
RESTORE_ANY = (Control, 'restore', restore_any)
ADVANCE_ANYWHERE = (Progress, '_advance', advance_anywhere)


@pytest.mark.parametrize(
    ('broken', 'seen'),
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
        ([(Folded, 'is_decided', lambda *_: False)], 'was decided twice'),
        ([(Published, 'publish', publish_mostly)], 'differs|disagrees'),
        ([(Progress, 'skip_to', skip_silently)], 'differs|disagrees'),
        ([RESTORE_ANY], 'is before|the version fell'),
        ([RESTORE_ANY, ADVANCE_ANYWHERE], 'the version fell'),
        ([(Control, 'restore', lambda *_: False)], 'not in force everywhere'),
        ([(_asking, '_judge', judge_hopefully)], 'accepted, but the log'),
        (
            [(_checkpointing, 'is_due', lambda *_, **__: False)],
            'no usable checkpoint is left',
        ),
        (
            [(_finishing, 'list_waiting_hosts', list_confirming)],
            'finished with',
        ),
        ([(_finishing, 'list_waiting_hosts', list_reachable)], 'finished with'),
        ([(control_run, 'may_send', lambda *_: True)], 'which is out'),
    ],
    ids=lambda value: value if isinstance(value, str) else value[0][1],
)
def test_mutation_goes_red(monkeypatch, broken, seen):
    for owner, name, mutant in broken:
        monkeypatch.setattr(owner, name, mutant)
    faults = [
        fault for seed in SEEDS_OF_MUTATIONS for fault in list_faults(seed)
    ]
    assert faults, 'no seed went red'
    assert all(re.search(seen, fault) for fault in faults), faults


def list_faults(seed):
    try:
        run(seed)
    except BaseException as error:
        return [str(leaf) for leaf in list_leaves(error)]
    return []


def list_leaves(error):
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for one in error.exceptions for leaf in list_leaves(one)]
