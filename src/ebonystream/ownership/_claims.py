"""Claims: a task that keeps this host's slices claimed ahead of time."""

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
from ebonystream.ownership._grants import Grants
from ebonystream.ownership._owner import Owner
from ebonystream.ownership._records import (
    MAX_BACK_MS,
    Claim,
    KeysRecord,
    Release,
    Span,
)

CLAIM_PERIOD = Seconds(1.0)

REACH_BACK_MS = MAX_BACK_MS // 2
"""How far a claim reaches back, for callers whose clocks are behind."""

RELEASE_NOTICE_MS = 2000
"""How long a leaving host goes on serving fresh labels, while another host
claims those that follow."""

ListSlices = Callable[[], Iterable[SliceNumber]]
"""Gives the slices that this host should own, by the present members."""


def plan_claims(
    grants: Grants,
    slices: Iterable[SliceNumber],
    *,
    now: EpochMs,
    horizon_ms: int,
) -> tuple[Span, ...]:
    """Choose what to claim: each slice that is owned less than half ahead.

    Args:
        grants: Who owns what.
        slices: The slices that this host should own.
        now: This host's wall clock.
        horizon_ms: How far ahead slices are claimed.
    """
    until = EpochMs(now + horizon_ms)
    spans = [
        Span(number, _find_start(grants, number, now), until)
        for number in slices
    ]
    due = now + horizon_ms // 2
    return tuple(span for span in spans if span.start < due)


def _find_start(grants: Grants, number: SliceNumber, now: EpochMs) -> EpochMs:
    """Give the first label to claim: where the slice's ownership ends."""
    back = EpochMs(now - REACH_BACK_MS)
    return max(grants.find_end(number, now), grants.find_end(number, back))


async def keep_claims(
    *,
    owner: Owner,
    log: LogService,
    stream: StreamName,
    list_slices: ListSlices,
    horizon_ms: int,
    window_ms: int,
) -> None:
    """Claim this host's slices ahead of time, for ever.

    Args:
        owner: The state of ownership on this host.
        log: The log service.
        stream: The keys stream.
        list_slices: Gives the slices that this host should own.
        horizon_ms: How far ahead slices are claimed.
        window_ms: How long the outcome of a key is remembered.
    """
    async for _ in owner.timers.subscribe(period=CLAIM_PERIOD):
        now = owner.timers.wall_ms()
        owner.ledger.forget(EpochMs(now - window_ms))
        if owner.serves_until is not None:
            await _repeat_release(owner, log, stream)
            continue
        spans = plan_claims(
            owner.grants, list_slices(), now=now, horizon_ms=horizon_ms
        )
        if spans:
            await _append(log, stream, Claim(owner.incarnation, spans))


async def release_slices(
    *, owner: Owner, log: LogService, stream: StreamName
) -> None:
    """Give up what this host owns, a short time from now on.

    The host stops serving those labels before anyone can read so.

    Args:
        owner: The state of ownership on this host.
        log: The log service.
        stream: The keys stream.
    """
    since = owner.give_up(EpochMs(owner.timers.wall_ms() + RELEASE_NOTICE_MS))
    await _append(log, stream, Release(owner.incarnation, since))


async def _repeat_release(
    owner: Owner, log: LogService, stream: StreamName
) -> None:
    # A claim that was on its way may have come after the first release.
    since = owner.serves_until
    if since and owner.grants.owns_beyond(owner.incarnation, since):
        await _append(log, stream, Release(owner.incarnation, since))


async def _append(
    log: LogService, stream: StreamName, record: KeysRecord
) -> None:
    # A failure decides nothing: only reading the record back does.
    try:
        await log.append(stream, msgspec.json.encode(record))
    except EbonystreamError:
        return
