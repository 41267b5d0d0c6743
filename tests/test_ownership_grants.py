"""Owners computed from the keys stream: at most one for each timestamp."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    MAX_AHEAD_MS,
    MAX_BACK_MS,
    Claim,
    OwnershipTable,
    Release,
    Span,
)

NOW = 10_000_000
KEEP_MS = 600_000


def claim(owner, start, until, number=0):
    return Claim(owner, (Span(number, NOW + start, NOW + until),))


def fold_all(records, *, at=NOW, first=0):
    ownership = OwnershipTable(retention_ms=KEEP_MS)
    for offset, record in enumerate(records, first):
        body = msgspec.json.encode(record)
        ownership.fold(LogRecord(offset, at, body))
    return ownership


CASES = {
    'unclaimed': ([], 5, None),
    'claimed': ([claim('a', 0, 10)], 5, 'a'),
    'the end of a span is not owned': ([claim('a', 0, 10)], 10, None),
    'the first record wins': ([claim('a', 0, 10), claim('b', 0, 10)], 5, 'a'),
    'a later claim gets the unowned part': (
        [claim('a', 0, 10), claim('b', 5, 20)],
        15,
        'b',
    ),
    'a gap between intervals is unowned': (
        [claim('a', 0, 4), claim('b', 6, 10), claim('c', 0, 10)],
        5,
        'c',
    ),
    'slices are independent': ([claim('a', 0, 10, 1)], 5, None),
    'the owner can release the rest': (
        [claim('a', 0, 10), Release('a', NOW + 5), claim('b', 0, 10)],
        7,
        'b',
    ),
    'no other incarnation can release': (
        [claim('a', 0, 10), Release('b', NOW), claim('b', 0, 10)],
        7,
        'a',
    ),
    'timestamps before the release stay owned': (
        [claim('a', 0, 10), Release('a', NOW + 5), claim('b', 0, 10)],
        4,
        'a',
    ),
    'a span too far ahead is rejected': (
        [claim('a', 0, MAX_AHEAD_MS + 1)],
        5,
        None,
    ),
    'a span too far back is rejected': (
        [claim('a', -MAX_BACK_MS - 1, 10)],
        5,
        None,
    ),
    'an empty span is rejected': ([claim('a', 10, 10)], 10, None),
    'an unknown slice is rejected': ([claim('a', 0, 10, 64)], 5, None),
    'an invalid record is skipped': (
        [{'type': 'other'}, claim('a', 0, 10)],
        5,
        'a',
    ),
}


@pytest.mark.parametrize(
    ('records', 'timestamp', 'owner'), CASES.values(), ids=CASES.keys()
)
def test_fold(records, timestamp, owner):
    ownership = fold_all(records)
    assert ownership.find_owner(0, NOW + timestamp) == owner


def test_duplicate_record_is_ignored():
    ownership = fold_all([claim('a', 0, 10)])
    body = msgspec.json.encode(Release('a', NOW))
    ownership.fold(LogRecord(0, NOW, body))
    assert ownership.find_owner(0, NOW + 5) == 'a'


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
def test_only_owner_can_release(records):
    ownership = OwnershipTable(retention_ms=KEEP_MS)
    owners = {}
    for offset, record in enumerate(records):
        body = msgspec.json.encode(record)
        ownership.fold(LogRecord(offset, NOW, body))
        for timestamp in range(NOW - 20, NOW + 60):
            owner = ownership.find_owner(0, timestamp)
            previous = owners.get(timestamp)
            is_released = isinstance(record, Release) and (
                record.incarnation == previous and timestamp >= record.since
            )
            assert owner == previous or previous is None or is_released
            owners[timestamp] = owner


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


def make_minute_record(offset, owner, start, length, is_release):
    """Return a time and a record; `start` is in minutes after that time."""
    appended_at = NOW + offset * MINUTE_MS
    first = appended_at + start * MINUTE_MS
    if is_release:
        return appended_at, Release(owner, first)
    span = Span(0, first, first + length * MINUTE_MS)
    return appended_at, Claim(owner, (span,))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(minutes_strategy, st.integers(1, 10))
def test_reader_that_missed_records_never_disagrees(rows, skipped):
    """Records are a minute apart; the late reader misses the first ones.

    It must find the same owners as a complete reader, or none.
    """
    complete = OwnershipTable(retention_ms=KEEP_MS)
    late = OwnershipTable(retention_ms=KEEP_MS)
    for offset, row in enumerate(rows):
        appended_at, record = make_minute_record(offset, *row)
        body = msgspec.json.encode(record)
        log_record = LogRecord(offset, appended_at, body)
        complete.fold(log_record)
        if offset >= skipped:
            late.fold(log_record)
    for minute in range(60):
        timestamp = NOW + minute * MINUTE_MS + 1
        owner = late.find_owner(0, timestamp)
        assert owner in {None, complete.find_owner(0, timestamp)}


def test_owners_are_unknown_after_missed_records():
    ownership = fold_all([claim('b', 0, 10)], first=7)
    assert ownership.find_owner(0, NOW + 5) is None
    assert ownership.unknown_before == NOW + MAX_AHEAD_MS


SNAPSHOTS = {
    'a newer one is restored': (3, True),
    'an equal one is ignored': (2, False),
    'an older one is ignored': (1, False),
}


@pytest.mark.parametrize(
    ('count', 'is_restored'), SNAPSHOTS.values(), ids=SNAPSHOTS.keys()
)
def test_snapshots(count, is_restored):
    spans = [claim('a', n * 10, n * 10 + 10) for n in range(count)]
    ownership = fold_all([claim('a', 0, 10), claim('a', 10, 20)])
    assert ownership.restore(fold_all(spans).take_snapshot()) is is_restored
    assert ownership.next_offset == max(count, 2)
    assert ownership.find_owner(0, NOW + 25) == ('a' if is_restored else None)
