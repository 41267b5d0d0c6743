"""Claims and releases of the slices that this host owns."""

from collections.abc import Callable, Iterable

import msgspec

from ebonystream._ids import (
    EpochMs,
    Seconds,
    SliceNumber,
    StreamName,
)
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import LogService
from ebonystream.ownership._owner import KeyOwner
from ebonystream.ownership._ownership_table import OwnershipTable
from ebonystream.ownership._records import (
    MAX_BACK_MS,
    Claim,
    KeysRecord,
    Release,
    Span,
)

CLAIM_PERIOD = Seconds(1.0)

CLAIM_LOOKBACK_MS = MAX_BACK_MS // 2
"""How far a claim reaches into the past, as callers' clocks may be behind."""

RELEASE_NOTICE_MS = 2000
"""Delay before a release takes effect. The host that shuts down still runs new
keys in the meantime, while another host claims the timestamps that follow."""

ListSlices = Callable[[], Iterable[SliceNumber]]
"""Returns the slices that this host should own, given the current members."""


def plan_claims(
    ownership: OwnershipTable,
    slices: Iterable[SliceNumber],
    *,
    now: EpochMs,
    horizon_ms: int,
) -> tuple[Span, ...]:
    """Return the spans to claim.

    A slice is claimed when less than half of the horizon ahead is owned.

    Args:
        ownership: Owners of the timestamps of each slice.
        slices: Slices that this host should own.
        now: Current wall-clock time.
        horizon_ms: How far ahead slices are claimed, in milliseconds.
    """
    until = EpochMs(now + horizon_ms)
    spans = [
        Span(slice_number, _find_start(ownership, slice_number, now), until)
        for slice_number in slices
    ]
    claim_before = now + horizon_ms // 2
    return tuple(span for span in spans if span.start < claim_before)


def _find_start(
    ownership: OwnershipTable, slice_number: SliceNumber, now: EpochMs
) -> EpochMs:
    """Return the first timestamp to claim, where the slice's ownership ends."""
    earliest = EpochMs(now - CLAIM_LOOKBACK_MS)
    return max(
        ownership.find_unowned(slice_number, now),
        ownership.find_unowned(slice_number, earliest),
    )


async def maintain_claims(
    *,
    owner: KeyOwner,
    log: LogService,
    stream: StreamName,
    list_slices: ListSlices,
    horizon_ms: int,
    retention_ms: int,
) -> None:
    """Claim this host's slices ahead of time; runs until cancelled.

    Args:
        owner: Ownership of keys on this host.
        log: The log service.
        stream: The keys stream.
        list_slices: Returns the slices that this host should own.
        horizon_ms: How far ahead slices are claimed, in milliseconds.
        retention_ms: Retention of the outcome of a key, in milliseconds.
    """
    async for _ in owner.timers.subscribe(period=CLAIM_PERIOD):
        now = owner.timers.wall_ms()
        owner.key_table.evict(EpochMs(now - retention_ms))
        if owner.released_from is not None:
            await _repeat_release(owner, log, stream)
            continue
        spans = plan_claims(
            owner.ownership, list_slices(), now=now, horizon_ms=horizon_ms
        )
        if spans:
            await _append(log, stream, Claim(owner.incarnation, spans))


async def release_slices(
    *, owner: KeyOwner, log: LogService, stream: StreamName
) -> None:
    """Release this host's ownership, effective after a short delay.

    The host stops running keys with the released timestamps before it appends
    the release to the log, so no other host can own them too early.

    Args:
        owner: Ownership of keys on this host.
        log: The log service.
        stream: The keys stream.
    """
    since = owner.release(EpochMs(owner.timers.wall_ms() + RELEASE_NOTICE_MS))
    await _append(log, stream, Release(owner.incarnation, since))


async def _repeat_release(
    owner: KeyOwner, log: LogService, stream: StreamName
) -> None:
    # A claim in flight may have been appended after the first release.
    since = owner.released_from
    if since and owner.ownership.owns_from(owner.incarnation, since):
        await _append(log, stream, Release(owner.incarnation, since))


async def _append(
    log: LogService, stream: StreamName, record: KeysRecord
) -> None:
    # Ownership follows only from reading a record back from the log, so a
    # failed append needs no handling: the next period tries again.
    try:
        await log.append(stream, msgspec.json.encode(record))
    except EbonystreamError:
        return
