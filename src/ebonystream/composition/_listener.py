"""Wires the path of a call, from the caller's connection to a back end."""

from functools import partial

from ebonystream._ids import CustomerId
from ebonystream.backend import (
    Dispatch,
    make_dispatch,
    make_recording_place,
)
from ebonystream.call import (
    CallKind,
    HandleRequest,
    RunCall,
    make_admit_request,
    make_handle_request,
)
from ebonystream.caller import CallerListener
from ebonystream.composition._bought import make_bought_run
from ebonystream.composition._moves import guard_place, make_zone_observer
from ebonystream.composition._ownership import Ownership
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.composition._probes import make_hearing
from ebonystream.configuration import PlanClass
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits, OpenConnections
from ebonystream.observation import log_attempt, observe_calls, observe_requests
from ebonystream.ownership import make_handle_key_requests, parse_key
from ebonystream.upstream import make_sender


def make_listener(
    parts: Parts, *, dispatch: Dispatch, ownership: Ownership
) -> CallerListener:
    """Make the listener for callers.

    Args:
        parts: What the tasks of this host share.
        dispatch: Makes one attempt at a backend server.
        ownership: Runs calls that must run once.
    """
    callers = parts.settings.callers
    return CallerListener(
        handle_request=_make_serve(parts, dispatch, ownership),
        limits=ConnectionLimits(
            message=ReaderLimits(
                head_bytes=callers.max_head_bytes,
                body_bytes=callers.max_body_bytes,
            ),
            receive_timeout=convert_ms(callers.receive_timeout_ms),
            idle_timeout=convert_ms(callers.idle_timeout_ms),
        ),
        connections=OpenConnections(limit=callers.max_connections),
        drain_grace=convert_ms(callers.drain_grace_ms),
        timers=parts.timers,
    )


def _make_serve(
    parts: Parts, dispatch: Dispatch, ownership: Ownership
) -> HandleRequest:
    runs = {
        CallKind.IDEMPOTENT: make_bought_run(
            parts.policy, dispatch, parts.control
        ),
        CallKind.AT_MOST_ONCE: ownership.run,
    }
    observed = {kind: _observe(parts, run) for kind, run in runs.items()}
    admit = make_admit_request(
        get_plans=parts.control.get_plans, parse_key=parse_key
    )
    serve = make_handle_key_requests(
        handle_request=make_handle_request(admit=admit, runs=observed),
        issue_key=ownership.issue,
        owner=ownership.owner,
    )
    return observe_requests(serve, metrics=parts.metrics)


def _observe(parts: Parts, run: RunCall) -> RunCall:
    return observe_calls(
        run,
        metrics=parts.metrics,
        get_plan_class=partial(_find_class, parts),
        timers=parts.timers,
    )


def make_call_dispatch(parts: Parts) -> Dispatch:
    """Make the function that makes one attempt of a call."""
    rules = parts.server_rules
    return make_dispatch(
        place=rules.guard(
            make_recording_place(
                guard_place(parts.policy.place, parts.zones_in_flight),
                parts.directory,
                rules.view.wants,
            )
        ),
        send=make_sender(pool=parts.pool, timers=parts.timers),
        observers=(
            parts.policy.learn,
            make_hearing(parts.policy.prober, parts.timers),
            make_zone_observer(parts.zones_in_flight),
            parts.metrics.count_attempt,
            log_attempt,
            *rules.observers,
        ),
        timers=parts.timers,
        begins=rules.begins,
    )


def _find_class(parts: Parts, customer: CustomerId) -> PlanClass:
    plans = parts.control.get_plans()
    plan = plans.find_plan(customer) if plans else None
    return plan.plan_class if plan else PlanClass.SPARE
