"""What gives way when the memory for clients is short, and what a reader holds."""

import gc
import tracemalloc
from itertools import cycle

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import (
    ReaderLimits,
    count_awaited_bytes,
    count_held_bytes,
    make_request_reader,
)
from ebonystream.ingress import MemoryBudget, divide_descriptors
from ebonystream.ingress._account import CONNECTION_BYTES
from ebonystream.platform._errors import FormatError
from ebonystream.platform._process_limits import ProcessLimits

MIB = 1_048_576
MAX_BYTES = 80 * MIB
LATER = 10.0
STALLED, SLOW, STEADY = 'stalled', 'slow', 'steady'
LIMITS = ReaderLimits(head_bytes=2048, body_bytes=200_000)


def open_receiving(budget, ended, name, size, pace):
    """Open a connection that has received a part of a request."""
    account = budget.book.open(lambda: ended.append(f'{name} closed'))
    account.reading.start(0.0)
    account.stop_receiving = lambda: ended.append(f'{name} stopped')
    budget.set_reading(account, size, 0.0)
    account.reading.moved_at = 1.0 if pace == STALLED else LATER
    account.reading.moved_bytes = 1000 if pace == SLOW else size
    return account


@pytest.mark.parametrize(
    ('held', 'size', 'ended', 'refusal'),
    [
        ([], 64 * MIB, [], None),
        ([], 80 * MIB, [], ErrorKind.BODY_TOO_LARGE),
        # Steady requests keep their bytes; the new one is refused.
        ([('a', 40, STEADY)], 40 * MIB, [], ErrorKind.MEMORY_SHORT),
        ([('a', 40, STEADY)], 20 * MIB, [], None),
        ([('a', 40, STALLED)], 40 * MIB, ['a stopped'], None),
        ([('a', 40, SLOW)], 40 * MIB, ['a stopped'], None),
        # The largest is ended first, and no more than are needed.
        (
            [('a', 10, STALLED), ('b', 30, STALLED), ('c', 20, STEADY)],
            15 * MIB,
            ['b stopped'],
            None,
        ),
        # Nothing is ended for a request that would not fit even so.
        (
            [('a', 10, STALLED), ('b', 50, STEADY)],
            30 * MIB,
            [],
            ErrorKind.MEMORY_SHORT,
        ),
        # Small requests fit where large ones do not.
        ([('a', 69, STEADY)], 50_000, [], None),
    ],
)
def test_what_gives_way_to_a_request(held, size, ended, refusal):
    budget, seen = MemoryBudget(MAX_BYTES), []
    for name, mib, pace in held:
        open_receiving(budget, seen, name, mib * MIB, pace)
    account = budget.book.open(lambda: None)
    if refusal is None:
        budget.set_reading(account, size, LATER)
    else:
        with pytest.raises(EbonystreamError) as raised:
            budget.set_reading(account, size, LATER)
        assert raised.value.kind is refusal
    assert seen == ended
    assert budget.book.used_bytes <= MAX_BYTES


@pytest.mark.parametrize(
    ('taken', 'ended'),
    [
        # It took nothing for a while.
        (0, ['slow']),
        # It takes its response, so the newest, which is larger, is closed.
        (8 * MIB, ['new']),
    ],
)
def test_responses_above_the_budget(taken, ended):
    """A request that ran is not refused: clients that read slowly are closed."""
    budget, seen = MemoryBudget(MAX_BYTES), []
    slow = budget.book.open(lambda: seen.append('slow'))
    budget.add_sending(slow, 30 * MIB, 0.0)
    if taken:
        budget.record_sent(slow, taken, LATER)
    new = budget.book.open(lambda: seen.append('new'))
    budget.add_sending(new, 60 * MIB, LATER)
    assert seen == ended
    assert budget.book.used_bytes <= MAX_BYTES


def test_all_bytes_are_released():
    budget = MemoryBudget(MAX_BYTES)
    account = budget.book.open(lambda: None)
    budget.set_reading(account, MIB, 0.0)
    budget.add_serving(account, MIB)
    budget.set_reading(account, 0, 0.0)
    budget.add_sending(account, MIB, 0.0)
    budget.record_sent(account, MIB // 2, 1.0)
    assert budget.book.used_bytes == CONNECTION_BYTES + MIB + MIB // 2
    budget.book.close(account)
    assert budget.book.used_bytes == 0


@pytest.mark.parametrize('max_fds', [264, 300, 4100, 10_250])
@pytest.mark.parametrize('budget_bytes', [MIB, 90 * MIB, 250 * MIB])
def test_descriptors_are_left_for_servers(max_fds, budget_bytes):
    shares = divide_descriptors(max_fds, budget_bytes)
    accepted = (shares.callers, shares.peers, shares.readiness, shares.metrics)
    assert min(accepted) >= 1
    assert sum(accepted) <= 0.7 * (max_fds - 200)
    assert shares.callers * CONNECTION_BYTES <= max(budget_bytes, MIB) / 2


@pytest.mark.parametrize(
    ('limits', 'client_bytes'),
    [
        ({}, 90 * MIB),
        ({'memory_mb': 300}, 135 * MIB),
        ({'memory_mb': 300, 'client_memory_mb': 100}, 100 * MIB),
        ({'memory_mb': 300, 'client_memory_mb': 180.5}, None),
    ],
)
def test_memory_for_clients_in_the_settings(limits, client_bytes):
    if client_bytes is None:
        with pytest.raises(FormatError):
            ProcessLimits(**limits).compute_client_memory()
    else:
        found = ProcessLimits(**limits).compute_client_memory()
        assert found == client_bytes


CHUNKED_HEAD = b'transfer-encoding: chunked\r\n\r\n'
FIELDS_HEAD = b'a:b\r\n' * 300 + CHUNKED_HEAD
HEADS = st.sampled_from(
    [
        b'content-length: 9000\r\n\r\n',
        b'content-length: 200001\r\n\r\n',
        b'content-length: 999999999999\r\n\r\n',
        CHUNKED_HEAD,
        FIELDS_HEAD,
        b'a:b\r\n' * 900,
        b'a: ' + b'x' * 90_000,
    ]
)
CHUNK = st.integers(1, 5000).map(
    lambda size: b'%x\r\n%b\r\n' % (size, b'x' * size)
)
TINY = st.integers(1, 8).map(
    lambda size: b'%x\r\n%b\r\n' % (size, b'x' * size) * 4000
)
ODD = st.sampled_from(
    [b'0\r\n\r\n', b'0\r\na: b\r\n', b'1;' + b'e' * 900, b'\0']
)
INPUTS = st.tuples(
    HEADS, st.lists(st.one_of(CHUNK, TINY, ODD), max_size=20).map(b''.join)
)
MEMORY_FACTOR = 2
MAX_STEPS = 300
FIXED_BYTES = 100_000
"""Objects of a reader and its parser, whatever its limits."""


@settings(max_examples=150, deadline=None)
@example((CHUNKED_HEAD, b'2\r\nxy\r\n' * 40_000), [9000])
@example((FIELDS_HEAD, b''), [100])
@given(INPUTS, st.lists(st.integers(1, 9000), min_size=1, max_size=20))
def test_what_a_reader_holds_is_bounded(parts, sizes):
    # Guards against parts that cost more than their bytes, and copies that are
    # kept, at each step, whatever the splits of the input.
    head, rest = parts
    data = b'POST / HTTP/1.1\r\n' + head + rest
    reader = make_request_reader(LIMITS)
    bound = LIMITS.head_bytes * 100 + LIMITS.body_bytes
    position, least = 0, len(data) // MAX_STEPS
    tracemalloc.start()
    try:
        for size in cycle([max(size, least) for size in sizes]):
            piece = data[position : position + size]
            position += size
            before = count_held_bytes(reader)
            try:
                reader.feed(piece)
            except EbonystreamError:
                reader.close()
                assert count_held_bytes(reader) == 0
                return
            assert count_held_bytes(reader) <= min(bound, before + 700 * size)
            held, _ = tracemalloc.get_traced_memory()
            counted = count_held_bytes(reader)
            assert held <= MEMORY_FACTOR * counted + FIXED_BYTES
            while reader.next_message():
                assert count_awaited_bytes(reader) <= LIMITS.body_bytes
            if position >= len(data):
                return
    finally:
        tracemalloc.stop()


def test_tiny_chunks_cost_the_bytes_they_hold():
    limits = ReaderLimits(head_bytes=2048, body_bytes=MIB)
    reader = make_request_reader(limits)
    reader.feed(b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n')
    gc.collect()
    tracemalloc.start()
    try:
        for _ in range(100):
            reader.feed(b'2\r\nxy\r\n' * 2000)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert count_held_bytes(reader) >= 400_000
    assert held < 2 * 400_000
