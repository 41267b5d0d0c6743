"""Measures the cost of the ownership of keys."""

from functools import partial
from random import Random

import msgspec

from ebonystream._ids import EpochMs, Incarnation, Offset, SliceNumber
from ebonystream.call import CallResponse
from ebonystream.errors import Outcome
from ebonystream.logservice import LogRecord
from ebonystream.ownership import (
    SLICE_COUNT,
    Claim,
    KeyTable,
    OwnershipTable,
    Span,
    make_key,
)
from slopes.fit import Line, fit_line
from slopes.meter import measure_cpu_us, measure_memory

NOW = EpochMs(1_800_000_000_000)
MINUTE_MS = 60_000
RETENTION_MS = 600_000
RESPONSE_BYTES = 200
MAX_LEDGER_BYTES = 1_000_000_000
KEY_COUNTS = (1000, 4000, 16_000, 64_000)
RECORD_COUNTS = (250, 500, 1000, 2000)
OWNER_COUNTS = (4, 8, 16, 32)


def measure_keys() -> list[Line]:
    """Measure the ledger of keys, the fold of claims and their records."""
    against = 'keys remembered'
    memory_sizes = [
        measure_memory(partial(_fill_ledger, count)) for count in KEY_COUNTS
    ]
    times = [
        measure_cpu_us(partial(_fill_ledger, count)) for count in KEY_COUNTS
    ]
    return [
        fit_line('ledger memory', 'bytes', against, KEY_COUNTS, memory_sizes),
        fit_line('ledger time', 'us', 'keys run', KEY_COUNTS, times),
        _measure_fold(),
        _measure_claim(),
    ]


def _measure_fold() -> Line:
    times = []
    for count in RECORD_COUNTS:
        records = _make_records(count)
        times.append(measure_cpu_us(partial(_fold_claims, records)))
    return fit_line(
        'fold of claims of 4 slices',
        'us',
        'claim records',
        RECORD_COUNTS,
        times,
    )


def _measure_claim() -> Line:
    sizes = [
        len(_encode_claim_of_slices(SLICE_COUNT // count))
        for count in OWNER_COUNTS
    ]
    slices = [SLICE_COUNT // count for count in OWNER_COUNTS]
    return fit_line('claim record', 'bytes', 'slices claimed', slices, sizes)


def _fill_ledger(count: int) -> KeyTable:
    ledger = KeyTable(max_bytes=MAX_LEDGER_BYTES)
    random = Random(count)
    body = bytes(RESPONSE_BYTES)
    for _ in range(count):
        entry = ledger.begin(make_key(NOW, random), b'digest')
        response = CallResponse(
            outcome=Outcome.RAN, status=200, headers=(), body=bytes(body)
        )
        ledger.finish(entry, response)
    return ledger


def _fold_claims(records: list[LogRecord]) -> OwnershipTable:
    ownership = OwnershipTable(retention_ms=RETENTION_MS)
    for record in records:
        ownership.fold(record)
    return ownership


def _make_records(count: int) -> list[LogRecord]:
    """Return the claims of 16 owners of 4 slices each, minute by minute."""
    owners = SLICE_COUNT // 4
    return [
        LogRecord(
            Offset(number),
            EpochMs(NOW + number // owners * MINUTE_MS),
            _encode_claim_of_owner(number % owners, number // owners),
        )
        for number in range(count)
    ]


def _encode_claim_of_owner(owner: int, minute: int) -> bytes:
    start = EpochMs(NOW + minute * MINUTE_MS)
    spans = tuple(
        Span(SliceNumber(4 * owner + slice_), start, EpochMs(start + MINUTE_MS))
        for slice_ in range(4)
    )
    return msgspec.json.encode(Claim(Incarnation(f'owner-{owner}'), spans))


def _encode_claim_of_slices(slices: int) -> bytes:
    spans = tuple(
        Span(SliceNumber(number), NOW, EpochMs(NOW + MINUTE_MS))
        for number in range(slices)
    )
    return msgspec.json.encode(Claim(Incarnation('owner-of-slices'), spans))
