"""Asking: a record is appended, and counts as taken once it is read back."""

from collections.abc import Awaitable, Callable

import msgspec
import trio

from ebonystream._ids import RequestId, Seconds, StreamName
from ebonystream.configuration._control import Control
from ebonystream.configuration._decisions import (
    Decision,
    Rejection,
    digest_record,
)
from ebonystream.configuration._records import Asked
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogService

Ask = Callable[[Asked], Awaitable[Decision]]
"""Asks the control stream to take a record and gives what became of it.

Raises `EbonystreamError`: of the kind of the rejection where it was rejected,
`MOVE_REJECTED` where its name was used for another record, `LOG_UNAVAILABLE`
where it can't be told in time whether it took effect. Asking again under the
same name is harmless.
"""

FORGOTTEN = Rejection(
    ErrorKind.MOVE_REJECTED, 'it was rejected; the reason is no longer known'
)


def make_asking(
    *,
    control: Control,
    log: LogService,
    stream: StreamName,
    patience: Seconds,
) -> Ask:
    """Make the function that asks the control stream to take a record.

    Args:
        control: The state that this host folds from the control stream.
        log: The log service.
        stream: The control stream.
        patience: How long the record may take to be read back, in seconds.
    """

    async def ask(record: Asked) -> Decision:
        if not control.folded.is_decided(record.request):
            with trio.move_on_after(patience):
                await _append(log, stream, record)
                await _read_back(control, record.request)
        return _judge(control, record)

    return ask


async def _append(log: LogService, stream: StreamName, record: Asked) -> None:
    # An append whose answer was lost may have taken effect, so a failure
    # decides nothing: only reading the record back does.
    try:
        await log.append(stream, msgspec.json.encode(record))
    except EbonystreamError:
        return


async def _read_back(control: Control, request: RequestId) -> None:
    while not control.folded.is_decided(request):
        await control.watch.wait()


def _judge(control: Control, record: Asked) -> Decision:
    decisions = control.folded.decisions
    decision = decisions.find(record.request)
    if decision is None:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, 'the record was not read back in time'
        )
    if decision.digest != digest_record(record):
        reason = f'the id {record.request} was used for another request'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
    if not decision.accepted:
        why = decisions.rejections.get(record.request, FORGOTTEN)
        raise EbonystreamError(why.kind, why.reason)
    return decision
