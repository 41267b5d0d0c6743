"""Wiring of usage reporting: its tasks, store calls and the last send."""

from collections.abc import Mapping
from functools import partial

from ebonystream._ids import Offset
from ebonystream.duty import AppendRecord, TopicTail
from ebonystream.entryhost._duty import DutyCalls, run_duty
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._supervision import RunTask
from ebonystream.entryhost._usage import UsageReporting
from ebonystream.entryhost._usage_counts import (
    send_counts,
    send_last_counts,
    take_counts,
)
from ebonystream.gossip import make_counts_handler, make_send_counts
from ebonystream.ingress import Respond
from ebonystream.link import Exchange
from ebonystream.platform import (
    DUTY_TOPIC,
    StoreClient,
    UsageService,
    encode_duty_record,
    encode_usage_report,
    find_last_duty_record,
)


def list_usage_tasks(
    parts: HostParts, store: StoreClient, exchange: Exchange
) -> Mapping[str, RunTask]:
    """List the tasks of usage reporting; none where it is not asked for.

    Args:
        parts: The state of the host.
        store: The client of the store.
        exchange: Sends requests to other hosts.
    """
    usage = parts.usage
    if usage is None or parts.settings.usage is None:
        return {}
    send = make_send_counts(exchange=exchange)
    parts.last_tasks.append(partial(send_last_counts, parts, usage, send))
    return {
        'perform_duty': partial(
            run_duty, parts, usage, _make_calls(parts, usage, store)
        ),
        'send_counts': partial(send_counts, parts, usage, send),
    }


def accept_counts(parts: HostParts, respond: Respond) -> Respond:
    """Let a handler of other hosts' requests take their counts as well.

    Args:
        parts: The state of the host.
        respond: Handles all other requests.
    """
    usage = parts.usage
    if usage is None:
        return respond
    return make_counts_handler(partial(take_counts, parts, usage), respond)


def _make_calls(
    parts: HostParts, usage: UsageReporting, store: StoreClient
) -> DutyCalls:
    async def read(hint: Offset) -> TopicTail:
        last = await store.read_last(DUTY_TOPIC, hint)
        record = find_last_duty_record(last.content)
        if record is None and last.content:
            parts.log_event('duty_record_unreadable', size=len(last.content))
        return TopicTail(last.end, record)

    async def append(step: AppendRecord) -> Offset | None:
        content = encode_duty_record(step.record)
        return await store.append(DUTY_TOPIC, content, expected_end=step.at)

    assert parts.settings.usage is not None
    service = UsageService(
        endpoint=parts.settings.usage.endpoint,
        timers=parts.timers,
        delivery=usage.duty.lease.times.act,
    )
    return DutyCalls(
        read=read,
        append=append,
        call=service.call,
        encode=encode_usage_report,
    )
