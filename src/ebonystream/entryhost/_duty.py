"""Performance of the duty of reporting usage, by one host at a time."""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial

import attrs

from ebonystream._ids import (
    BootTime,
    HostId,
    Incarnation,
    Offset,
    Seconds,
    WindowNumber,
    WorkspaceName,
)
from ebonystream.duty import (
    AppendRecord,
    CallResult,
    ReadTopic,
    Report,
    Rest,
    Role,
    SendReport,
    TopicTail,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._usage import MAX_CATCH_UP, UsageReporting
from ebonystream.entryhost._usage_election import update_role
from ebonystream.errors import EbonystreamError

CHECK_PERIOD = Seconds(0.25)
"""How often a host checks whether it has to act, in seconds."""

COLLECT_TIME = Seconds(2.5)
"""How long a new holder waits for the counts of the other hosts, in seconds:
they have to hear of it."""

MAX_STEPS = 20
"""Steps in one check, after which the role is updated again."""

MAX_LOGGED_HOSTS = 5

EncodeReport = Callable[[WindowNumber, Mapping[WorkspaceName, int]], Report]
"""Encodes the report of a window."""


@attrs.frozen
class DutyCalls:
    """Calls that the holder of the duty makes.

    Attributes:
        read: Reads the end of the topic; the argument is where its last record
            may be. Raises `EbonystreamError` if the store fails.
        append: Appends a record at an offset; None if the topic ends elsewhere.
            Raises likewise.
        call: Calls the service.
        encode: Encodes the report of a window.
    """

    read: Callable[[Offset], Awaitable[TopicTail]]
    append: Callable[[AppendRecord], Awaitable[Offset | None]]
    call: Callable[[SendReport], Awaitable[CallResult]]
    encode: EncodeReport


async def run_duty(
    parts: HostParts, usage: UsageReporting, calls: DutyCalls
) -> None:
    """Perform the duty whenever this host should; never return.

    Args:
        parts: The state of the host.
        usage: The state of usage reporting.
        calls: Calls to the store and the service.
    """
    logged_token = usage.duty.sightings.newest.token
    async for _ in parts.timers.subscribe(period=CHECK_PERIOD):
        update_role(parts, usage)
        if usage.role is Role.HOLDER:
            _correct_own_clock(parts, usage)
        await _perform_steps(parts, usage, calls)
        newest = usage.duty.sightings.newest
        if newest.token != logged_token:
            logged_token = newest.token
            parts.log_event(
                'duty_holder_changed',
                holder=newest.holder,
                token=newest.token,
                elected=usage.elected,
                role=usage.role.value,
                reported=newest.reported,
            )


async def _perform_steps(
    parts: HostParts, usage: UsageReporting, calls: DutyCalls
) -> None:
    for _ in range(MAX_STEPS):
        if not await _perform_step(parts, usage, calls):
            return


async def _perform_step(
    parts: HostParts, usage: UsageReporting, calls: DutyCalls
) -> bool:
    """Perform the next step; return False if there is none."""
    now = parts.timers.boot_now()
    step = usage.duty.decide(
        now,
        usage.role,
        partial(_make_report, parts, usage, calls.encode),
        usage.get_least_token(now),
    )
    if isinstance(step, Rest):
        return False
    if isinstance(step, SendReport):
        await _send_report(parts, usage, calls, step)
        return True
    try:
        await _use_store(parts, usage, calls, step)
    except EbonystreamError as error:
        usage.duty.fail_store(parts.timers.boot_now())
        parts.log_event(
            'duty_store_failed',
            step=type(step).__name__,
            why=str(error),
            unfit=usage.make_facts(now).unfit,
        )
    return True


async def _use_store(
    parts: HostParts,
    usage: UsageReporting,
    calls: DutyCalls,
    step: ReadTopic | AppendRecord,
) -> None:
    duty = usage.duty
    if isinstance(step, ReadTopic):
        hint = Offset(max(0, duty.sightings.newest.end - 1))
        tail = await calls.read(hint)
        duty.finish_read(tail, parts.timers.boot_now())
        return
    duty.lease.begin_append(step.at, parts.timers.boot_now())
    offset = await calls.append(step)
    duty.finish_append(step, offset, parts.timers.boot_now())
    if offset is None:
        parts.log_event(
            'duty_append_refused', at=step.at, token=step.record.token
        )


async def _send_report(
    parts: HostParts,
    usage: UsageReporting,
    calls: DutyCalls,
    step: SendReport,
) -> None:
    result = await calls.call(step)
    now = parts.timers.boot_now()
    usage.duty.finish_call(step.record, result, now)
    parts.metrics.usage_reports.increment(result.value)
    schedule = usage.schedule
    window = step.record.report.window
    parts.log_event(
        'usage_reported',
        window=window,
        token=step.record.token,
        result=result.value,
        age_s=schedule.clock.read(now) - schedule.clock.get_end(window),
        size=len(step.record.report.body),
    )


def _make_report(
    parts: HostParts,
    usage: UsageReporting,
    encode: EncodeReport,
    after: WindowNumber,
    emptied_at: BootTime | None,
) -> Report | None:
    """Make the report of the next window once it is due.

    It is due once all hosts have sent their counts, or so late that it does
    not wait for those that are missing.
    """
    now = parts.timers.boot_now()
    clock = usage.schedule.clock
    window = _select_window(usage, after, emptied_at, now)
    if clock.read(now) < usage.schedule.get_report(window):
        return None
    usage.collect_own(now)
    missing = usage.collected.find_missing(
        _list_runs(parts), usage.schedule.get_late_send(window)
    )
    if missing and _may_wait(usage, window, now):
        return None
    if missing or window != after + 1:
        parts.log_event(
            'usage_incomplete',
            window=window,
            left_out=window - after - 1,
            missing=missing[:MAX_LOGGED_HOSTS],
            missing_count=len(missing),
        )
    return encode(window, usage.collected.sum_window(window))


def _select_window(
    usage: UsageReporting,
    after: WindowNumber,
    emptied_at: BootTime | None,
    now: BootTime,
) -> WindowNumber:
    schedule = usage.schedule
    clock = schedule.clock
    oldest = clock.get_window(clock.read(now)) - MAX_CATCH_UP
    window = WindowNumber(max(after + 1, oldest))
    if emptied_at is None or usage.is_sole_since(emptied_at):
        return window
    first = schedule.get_first_window_due_after(clock.read(emptied_at))
    return max(window, first)


def _may_wait(
    usage: UsageReporting, window: WindowNumber, now: BootTime
) -> bool:
    schedule = usage.schedule
    is_new = now - usage.role_since < COLLECT_TIME
    return is_new or schedule.clock.read(now) < schedule.get_last_report(window)


def _list_runs(parts: HostParts) -> list[tuple[HostId, Incarnation]]:
    return [
        (facts.host, facts.incarnation)
        for facts in parts.facts.list_alive(parts.timers.now())
        if facts.host != parts.settings.name and facts.duty is not None
    ]


def _correct_own_clock(parts: HostParts, usage: UsageReporting) -> None:
    error = usage.collected.compute_own_error()
    if usage.schedule.clock.correct(Seconds(-error)):
        usage.collected.move_clock(Seconds(-error))
        parts.log_event('usage_clock_corrected', was_ahead_s=error)
