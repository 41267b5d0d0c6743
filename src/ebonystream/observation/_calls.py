"""Observed calls: each one is timed, counted and logged with its reasons."""

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

FindClass = Callable[[CustomerId], PlanClass]
"""Gives the class of a customer's plan."""


def observe_run(
    run: RunCall, *, metrics: Metrics, find_class: FindClass, timers: Timers
) -> RunCall:
    """Time, count and log the calls that a function runs.

    Args:
        run: Runs calls.
        metrics: Where calls are counted.
        find_class: Gives the class of a customer's plan.
        timers: Tells how long a call took.
    """

    async def run_observed(call: Call) -> CallResponse:
        began = timers.now()
        fields = {'customer': call.customer, 'route': call.route}
        with eliot.start_action(action_type='call', **fields) as action:
            answer = await run(call)
            took = Seconds(timers.now() - began)
            action.add_success_fields(**_describe(call, answer, took))
        metrics.count_call(call, find_class(call.customer), answer, took)
        return answer

    return run_observed


def observe_serve(serve: HandleRequest, *, metrics: Metrics) -> HandleRequest:
    """Count the system's own answers by kind.

    Args:
        serve: Answers requests.
        metrics: Where answers are counted.
    """

    async def serve_observed(received: CallRequest) -> CallResponse:
        answer = await serve(received)
        metrics.count_refusal(answer)
        return answer

    return serve_observed


def log_attempt(
    call: Call, server: BackendServer, attempt: Attempt, took: Seconds
) -> None:
    """Log one attempt within its call's action; an observer of attempts."""
    eliot.log_message(
        'attempt',
        server=server.id,
        zone=server.zone,
        version=server.version,
        end=attempt.kind.value,
        took_s=took,
    )


def log_placing(timers: Timers, waiting: Waiter, server: BackendServer) -> None:
    """Log which server a call goes to, why, and how long it waited."""
    eliot.log_message(
        'placing',
        server=server.id,
        reason=waiting.reason.value if waiting.reason else None,
        rank=waiting.rank,
        waited_s=timers.now() - waiting.queued_at,
    )


def _describe(
    call: Call, answer: CallResponse, took: Seconds
) -> dict[str, object]:
    told: dict[str, object] = {
        'outcome': answer.outcome.value,
        'status': answer.status,
        'took_s': took,
    }
    if answer.error is not None:
        told['error'] = answer.error.value
    if call.key is not None:
        told['key'] = call.key
    return told
