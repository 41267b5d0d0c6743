"""The fold of the keys stream: at most one owner for each label, ever."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    MAX_AHEAD_MS,
    MAX_BACK_MS,
    Claim,
    Grants,
    Release,
    Span,
)

NOW = 10_000_000
KEEP_MS = 600_000


def claim(owner, start, until, number=0):
    return Claim(owner, (Span(number, NOW + start, NOW + until),))


def fold_all(records, *, at=NOW, first=0):
    grants = Grants(keep_ms=KEEP_MS)
    for offset, record in enumerate(records, first):
        body = msgspec.json.encode(record)
        grants.fold(LogRecord(offset, at, body))
    return grants


CASES = {
    'unclaimed': ([], 5, None),
    'claimed': ([claim('a', 0, 10)], 5, 'a'),
    'the end is not owned': ([claim('a', 0, 10)], 10, None),
    'first record wins': ([claim('a', 0, 10), claim('b', 0, 10)], 5, 'a'),
    'the later one gets what is free': (
        [claim('a', 0, 10), claim('b', 5, 20)],
        15,
        'b',
    ),
    'a gap between is free': (
        [claim('a', 0, 4), claim('b', 6, 10), claim('c', 0, 10)],
        5,
        'c',
    ),
    'another slice is another matter': ([claim('a', 0, 10, 1)], 5, None),
    'the owner gives up the rest': (
        [claim('a', 0, 10), Release('a', NOW + 5), claim('b', 0, 10)],
        7,
        'b',
    ),
    'nobody else can give it up': (
        [claim('a', 0, 10), Release('b', NOW), claim('b', 0, 10)],
        7,
        'a',
    ),
    'what was before the release stays': (
        [claim('a', 0, 10), Release('a', NOW + 5), claim('b', 0, 10)],
        4,
        'a',
    ),
    'too far ahead is void': ([claim('a', 0, MAX_AHEAD_MS + 1)], 5, None),
    'too far back is void': ([claim('a', -MAX_BACK_MS - 1, 10)], 5, None),
    'an empty span is void': ([claim('a', 10, 10)], 10, None),
    'no such slice is void': ([claim('a', 0, 10, 64)], 5, None),
    'no keys record changes nothing': (
        [{'type': 'other'}, claim('a', 0, 10)],
        5,
        'a',
    ),
}


@pytest.mark.parametrize(
    ('records', 'label', 'owner'), CASES.values(), ids=CASES.keys()
)
def test_fold(records, label, owner):
    grants = fold_all(records)
    assert grants.find_owner(0, NOW + label) == owner


def test_a_record_that_comes_twice_changes_nothing():
    grants = fold_all([claim('a', 0, 10)])
    body = msgspec.json.encode(Release('a', NOW))
    grants.fold(LogRecord(0, NOW, body))
    assert grants.find_owner(0, NOW + 5) == 'a'


records_strategy = st.lists(
    st.one_of(
        st.builds(
            claim,
            st.sampled_from('abc'),
            st.integers(-20, 40),
            st.integers(-20, 60),
            st.integers(0, 1),
        ),
        st.builds(
            lambda owner, since: Release(owner, NOW + since),
            st.sampled_from('abc'),
            st.integers(-20, 40),
        ),
    ),
    max_size=20,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(records_strategy)
def test_only_its_owner_ends_ownership(records):
    grants = Grants(keep_ms=KEEP_MS)
    before = {}
    for offset, record in enumerate(records):
        body = msgspec.json.encode(record)
        grants.fold(LogRecord(offset, NOW, body))
        for label in range(NOW - 20, NOW + 60):
            owner = grants.find_owner(0, label)
            was = before.get(label)
            released = isinstance(record, Release) and (
                record.incarnation == was and label >= record.since
            )
            assert owner == was or was is None or released
            before[label] = owner


MINUTE_MS = 60_000

minutes_strategy = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.integers(-1, 10),
        st.integers(1, 15),
        st.booleans(),
    ),
    min_size=2,
    max_size=20,
)


def make_minute_record(offset, owner, start, length, gives_up):
    """A record of that minute: labels count from its own time."""
    at = NOW + offset * MINUTE_MS
    first = at + start * MINUTE_MS
    if gives_up:
        return at, Release(owner, first)
    return at, Claim(owner, (Span(0, first, first + length * MINUTE_MS),))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(minutes_strategy, st.integers(1, 10))
def test_a_late_reader_agrees_where_it_answers(rows, skipped):
    """Records are a minute apart; the late reader misses the first ones."""
    whole = Grants(keep_ms=KEEP_MS)
    late = Grants(keep_ms=KEEP_MS)
    for offset, row in enumerate(rows):
        at, record = make_minute_record(offset, *row)
        one = LogRecord(offset, at, msgspec.json.encode(record))
        whole.fold(one)
        if offset >= skipped:
            late.fold(one)
    for minute in range(60):
        label = NOW + minute * MINUTE_MS + 1
        known = late.find_owner(0, label)
        assert known in {None, whole.find_owner(0, label)}


def test_a_late_reader_is_blind_below_what_it_missed():
    grants = fold_all([claim('b', 0, 10)], first=7)
    assert grants.find_owner(0, NOW + 5) is None
    assert grants.blind_until == NOW + MAX_AHEAD_MS


SNAPSHOTS = {
    'a newer one is taken': (3, True),
    'an equal one is refused': (2, False),
    'an older one is refused': (1, False),
}


@pytest.mark.parametrize(
    ('count', 'taken'), SNAPSHOTS.values(), ids=SNAPSHOTS.keys()
)
def test_snapshots(count, taken):
    spans = [claim('a', n * 10, n * 10 + 10) for n in range(count)]
    mine = fold_all([claim('a', 0, 10), claim('a', 10, 20)])
    assert mine.restore(fold_all(spans).take_snapshot()) is taken
    assert mine.next == max(count, 2)
    assert mine.find_owner(0, NOW + 25) == ('a' if taken else None)
