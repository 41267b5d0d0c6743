"""Forwarding of calls to the owners of their keys."""

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
from ebonystream.call import (
    AT_MOST_ONCE_GRACE_PERIOD,
    Call,
    CallKind,
    CallResponse,
    RunCall,
)
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.http1 import FINAL_STATUSES
from ebonystream.ownership._key import parse_key
from ebonystream.ownership._owner import ForwardToOwner, get_key
from ebonystream.peer import ForwardedCall, ForwardedResponse

RESEND_AFTER = Seconds(0.5)
"""Time without a response after which a forwarded call is sent again, in
seconds. The owner recognizes the duplicate by its key."""

UNASSIGNED = CorrelationId(0)
"""Placeholder; the exchange between hosts assigns the correlation id."""

SendToOwner = Callable[
    [HostId, ForwardedCall, Monotonic], Awaitable[ForwardedResponse]
]
"""Sends a call to a host and waits for the response until a deadline.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""

FindHost = Callable[[Incarnation], HostId | None]
"""Returns the host with an incarnation; None if it is unknown."""

HandleForwardedCall = Callable[
    [HostId, ForwardedCall], Awaitable[ForwardedResponse | None]
]
"""Handles a call that another host forwards."""


def make_forward_to_owner(
    *, send: SendToOwner, find_host: FindHost, timers: Timers
) -> ForwardToOwner:
    """Return a function that forwards calls to owners.

    It sends a call again after `RESEND_AFTER` until the call's deadline.

    Args:
        send: Sends a call to a host.
        find_host: Returns the host with an incarnation.
        timers: Clock that deadlines are measured with.
    """

    async def try_forward(
        call: Call, owner: Incarnation
    ) -> CallResponse | None:
        host = find_host(owner)
        if host is None:
            raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)
        request = _encode_call(call, owner, timers.now())
        resend_at = Monotonic(timers.now() + RESEND_AFTER)
        try:
            response = await send(host, request, min(resend_at, call.deadline))
        except EbonystreamError:
            return None
        return decode_forwarded_response(response)

    async def forward(call: Call, owner: Incarnation) -> CallResponse:
        while timers.now() < call.deadline:
            response = await try_forward(call, owner)
            if response is not None:
                return response
        raise EbonystreamError(ErrorKind.OWNER_UNREACHABLE, owner)

    return forward


def make_handle_forwarded_call(
    *, run_owned: RunCall, timers: Timers
) -> HandleForwardedCall:
    """Return a function that handles calls forwarded to this host.

    Args:
        run_owned: Runs a call if this host owns its key.
        timers: Clock that deadlines are measured with.
    """

    async def handle_forwarded(
        sender: HostId, request: ForwardedCall
    ) -> ForwardedResponse | None:
        response = await run_owned(_decode_call(request, timers.now()))
        return ForwardedResponse(
            correlation=request.correlation,
            outcome=response.outcome.value,
            status=response.status,
            headers=response.headers,
            body=response.body,
            error=None if response.error is None else response.error.value,
        )

    return handle_forwarded


def decode_forwarded_response(response: ForwardedResponse) -> CallResponse:
    """Decode an owner's response to a forwarded call.

    Args:
        response: Message from the owner.

    Raises:
        EbonystreamError: The outcome or the kind of error is unknown to this
            host, or the status is not that of a final response, which is
            possible if the owner runs another version.
    """
    if response.status not in FINAL_STATUSES:
        raise EbonystreamError(
            ErrorKind.OUTCOME_LOST, f'status {response.status}'
        )
    try:
        return CallResponse(
            outcome=Outcome(response.outcome),
            status=response.status,
            headers=response.headers,
            body=response.body,
            error=None if response.error is None else ErrorKind(response.error),
        )
    except ValueError as error:
        raise EbonystreamError(ErrorKind.OUTCOME_LOST, str(error)) from error


def _encode_call(
    call: Call, owner: Incarnation, now: Monotonic
) -> ForwardedCall:
    remaining = max(0, call.deadline - now)
    return ForwardedCall(
        correlation=UNASSIGNED,
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


def _decode_call(request: ForwardedCall, now: Monotonic) -> Call:
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
        grace_period=AT_MOST_ONCE_GRACE_PERIOD,
    )
