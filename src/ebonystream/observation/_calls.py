"""Time, count and log calls."""

from collections.abc import Callable

import eliot

from ebonystream._ids import CustomerId, Seconds
from ebonystream._timers import Timers
from ebonystream.backend import Attempt, BackendServer
from ebonystream.call import (
    Call,
    CallRequest,
    CallResponse,
    HandleRequest,
    RunCall,
)
from ebonystream.configuration import PlanClass
from ebonystream.observation._metrics import Metrics
from ebonystream.routing import Waiter

GetPlanClass = Callable[[CustomerId], PlanClass]
"""Return the class of a customer's plan."""


def observe_calls(
    run_call: RunCall,
    *,
    metrics: Metrics,
    get_plan_class: GetPlanClass,
    timers: Timers,
) -> RunCall:
    """Wrap a function that runs calls to time, count and log each call.

    Args:
        run_call: Runs a call.
        metrics: Metrics to update.
        get_plan_class: Returns the class of a customer's plan.
        timers: Clock that call durations are measured with.

    Returns:
        The wrapped function.
    """

    async def run_observed(call: Call) -> CallResponse:
        started_at = timers.now()
        fields = {'customer': call.customer, 'route': call.route}
        with eliot.start_action(action_type='call', **fields) as action:
            response = await run_call(call)
            duration = Seconds(timers.now() - started_at)
            action.add_success_fields(
                **_list_log_fields(call, response, duration)
            )
        metrics.count_call(
            call, get_plan_class(call.customer), response, duration
        )
        return response

    return run_observed


def observe_requests(
    handle_request: HandleRequest, *, metrics: Metrics
) -> HandleRequest:
    """Wrap a request handler to count error responses by kind of error.

    Only errors that this system generated are counted, not responses of
    backend servers.

    Args:
        handle_request: Handles a request.
        metrics: Metrics to update.

    Returns:
        The wrapped handler.
    """

    async def handle_observed(request: CallRequest) -> CallResponse:
        response = await handle_request(request)
        metrics.count_refusal(response)
        return response

    return handle_observed


def log_attempt(
    call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
) -> None:
    """Log one attempt within the action of its call.

    Args:
        call: The call.
        server: Backend server that the attempt was sent to.
        attempt: The attempt.
        duration: Duration of the attempt, in seconds.
    """
    eliot.log_message(
        'attempt',
        server=server.id,
        zone=server.zone,
        version=server.version,
        end=attempt.kind.value,
        took_s=duration,
    )


def log_placement(
    timers: Timers, waiter: Waiter, server: BackendServer
) -> None:
    """Log which server a call was assigned to, why, and how long it waited.

    Args:
        timers: Clock that the wait is measured with.
        waiter: The call, with the time at which its wait began.
        server: The assigned server.
    """
    eliot.log_message(
        'placing',
        server=server.id,
        reason=waiter.reason.value if waiter.reason else None,
        rank=waiter.rank,
        waited_s=timers.now() - waiter.queued_at,
    )


def _list_log_fields(
    call: Call, response: CallResponse, duration: Seconds
) -> dict[str, object]:
    fields: dict[str, object] = {
        'outcome': response.outcome.value,
        'status': response.status,
        'took_s': duration,
    }
    if response.error is not None:
        fields['error'] = response.error.value
    if call.key is not None:
        fields['key'] = call.key
    return fields
