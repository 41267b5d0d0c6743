"""Submission of records to the control stream.

A record is appended to the log; its outcome is known once the record has been
read back and applied.
"""

from collections.abc import Awaitable, Callable

import msgspec
import trio

from ebonystream._ids import RequestId, Seconds, StreamName
from ebonystream.configuration._control import ControlReplica
from ebonystream.configuration._decisions import (
    Decision,
    Rejection,
    compute_digest,
)
from ebonystream.configuration._records import RequestRecord
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogService

SubmitRecord = Callable[[RequestRecord], Awaitable[Decision]]
"""Submits a record to the control stream and returns the decision on it.

Submitting a record again with the same request id has no further effect.

Raises `EbonystreamError`: with the kind of the rejection if the record was
rejected, `MOVE_REJECTED` if its request id was used for another record, and
`LOG_UNAVAILABLE` if it is not known in time whether the record took effect.
"""

UNKNOWN_REJECTION = Rejection(
    ErrorKind.MOVE_REJECTED, 'it was rejected; the reason is no longer known'
)


def make_submit_record(
    *,
    control: ControlReplica,
    log: LogService,
    stream: StreamName,
    timeout: Seconds,
) -> SubmitRecord:
    """Return the function that submits records to the control stream.

    Args:
        control: The control state of this host.
        log: The log service.
        stream: The control stream.
        timeout: Time for the record to be appended and read back, in seconds.
    """

    async def submit(record: RequestRecord) -> Decision:
        if not control.folded_state.is_decided(record.request):
            with trio.move_on_after(timeout):
                await _append(log, stream, record)
                await _wait_until_decided(control, record.request)
        return _get_decision(control, record)

    return submit


async def _append(
    log: LogService, stream: StreamName, record: RequestRecord
) -> None:
    # If the response to an append is lost, the record may be in the log. A
    # failed append is therefore inconclusive until the record is read back.
    try:
        await log.append(stream, msgspec.json.encode(record))
    except EbonystreamError:
        return


async def _wait_until_decided(
    control: ControlReplica, request: RequestId
) -> None:
    while not control.folded_state.is_decided(request):
        await control.change_notifier.wait()


def _get_decision(control: ControlReplica, record: RequestRecord) -> Decision:
    decisions = control.folded_state.decisions
    decision = decisions.get(record.request)
    if decision is None:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, 'the record was not read back in time'
        )
    if decision.digest != compute_digest(record):
        reason = f'the id {record.request} was used for another request'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
    if not decision.accepted:
        rejection = decisions.rejections.get(record.request, UNKNOWN_REJECTION)
        raise EbonystreamError(rejection.kind, rejection.reason)
    return decision
