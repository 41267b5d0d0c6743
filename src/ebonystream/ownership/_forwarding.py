"""Forwarding of calls to the owners of their keys, and what owners do."""

import math
from collections.abc import Awaitable, Callable

from ebonystream._ids import (
    CorrelationId,
    CustomerId,
    HostId,
    Incarnation,
    Monotonic,
    RouteName,
    Seconds,
    ServiceName,
)
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.call import ONCE_PATIENCE, Answer, Call, CallKind, Run
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.ownership._key import parse_key
from ebonystream.ownership._owner import Forward, get_key
from ebonystream.peer import ForwardAnswer, ForwardCall

RESEND_AFTER = Seconds(0.5)
"""Silence of the owner after which a forwarded call is sent again; the
owner's memory makes the copies one."""

UNPAIRED = CorrelationId(0)
"""The correlation before the exchange fills it in."""

AskOwner = Callable[[HostId, ForwardCall, Monotonic], Awaitable[ForwardAnswer]]
"""Asks a host and waits for its answer up to a time.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""

FindHost = Callable[[Incarnation], HostId | None]
"""Gives the host that runs as an incarnation, if it is known."""

AnswerCall = Callable[[HostId, ForwardCall], Awaitable[ForwardAnswer | None]]
"""Answers a call that the named host forwards."""


def make_forward(
    *, ask: AskOwner, find_host: FindHost, timers: Timers
) -> Forward:
    """Make the function that forwards calls to owners.

    Args:
        ask: Asks a host.
        find_host: Gives the host that runs as an incarnation.
        timers: Tells what is left of the deadline.
    """

    async def ask_once(call: Call, owner: Incarnation) -> Answer | None:
        host = find_host(owner)
        if host is None:
            raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)
        request = _encode_call(call, owner, timers.now())
        resend_at = Monotonic(timers.now() + RESEND_AFTER)
        try:
            answer = await ask(host, request, min(resend_at, call.deadline))
        except EbonystreamError:
            return None
        return decode_forwarded(answer)

    async def forward(call: Call, owner: Incarnation) -> Answer:
        while timers.now() < call.deadline:
            answer = await ask_once(call, owner)
            if answer is not None:
                return answer
        raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)

    return forward


def make_owner_answer(*, run_owned: Run, timers: Timers) -> AnswerCall:
    """Make the function that answers forwarded calls.

    Args:
        run_owned: Runs a call whose key this host may own.
        timers: Tells the time.
    """

    async def answer_call(
        sender: HostId, request: ForwardCall
    ) -> ForwardAnswer | None:
        answer = await run_owned(_decode_call(request, timers.now()))
        return ForwardAnswer(
            correlation=request.correlation,
            outcome=answer.outcome.value,
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            error=None if answer.error is None else answer.error.value,
        )

    return answer_call


def decode_forwarded(answer: ForwardAnswer) -> Answer:
    """Read an owner's answer.

    Args:
        answer: What came from the owner.

    Raises:
        EbonystreamError: It names an outcome or an error that is not on the
            list, as a later version of the owner may.
    """
    try:
        return Answer(
            outcome=Outcome(answer.outcome),
            status=answer.status,
            headers=answer.headers,
            body=answer.body,
            error=None if answer.error is None else ErrorKind(answer.error),
        )
    except ValueError as error:
        raise EbonystreamError(ErrorKind.OUTCOME_LOST, str(error)) from error


def _encode_call(call: Call, owner: Incarnation, now: Monotonic) -> ForwardCall:
    remaining = max(0, call.deadline - now)
    return ForwardCall(
        correlation=UNPAIRED,
        owner=owner,
        customer=call.customer,
        route=call.route,
        service=call.service,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        remaining_ms=math.floor(remaining * MS_PER_SECOND),
        key=get_key(call),
    )


def _decode_call(request: ForwardCall, now: Monotonic) -> Call:
    return Call(
        customer=CustomerId(request.customer),
        route=RouteName(request.route),
        service=ServiceName(request.service),
        kind=CallKind.AT_MOST_ONCE,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline=Monotonic(now + request.remaining_ms / MS_PER_SECOND),
        key=parse_key(request.key.encode('latin-1', 'replace')),
        patience=ONCE_PATIENCE,
    )
