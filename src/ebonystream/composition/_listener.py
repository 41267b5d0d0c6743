"""Wiring of calls, from the connection of a caller to a backend server."""

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
from ebonystream.composition._caller_limits import make_caller_connections
from ebonystream.composition._extra_attempts import make_run_with_extra_attempts
from ebonystream.composition._moves import (
    make_zone_counting_place,
    make_zone_observer,
)
from ebonystream.composition._ownership import Ownership
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.composition._probes import make_response_observer
from ebonystream.configuration import PlanClass
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits
from ebonystream.observation import log_attempt, observe_calls, observe_requests
from ebonystream.ownership import make_handle_key_requests, parse_key
from ebonystream.upstream import make_sender


def make_caller_listener(
    parts: Parts, *, dispatch: Dispatch, ownership: Ownership
) -> CallerListener:
    """Make the listener for callers.

    Args:
        parts: The parts of this host.
        dispatch: Makes one attempt at a backend server.
        ownership: Runs at-most-once calls.
    """
    settings = parts.settings.callers
    return CallerListener(
        handle_request=_make_handle_request(parts, dispatch, ownership),
        limits=ConnectionLimits(
            message=ReaderLimits(
                head_bytes=settings.max_head_bytes,
                body_bytes=settings.max_body_bytes,
            ),
            receive_timeout=convert_ms(settings.receive_timeout_ms),
            idle_timeout=convert_ms(settings.idle_timeout_ms),
        ),
        connections=make_caller_connections(parts),
        drain_grace=convert_ms(settings.drain_grace_ms),
        timers=parts.timers,
    )


def _make_handle_request(
    parts: Parts, dispatch: Dispatch, ownership: Ownership
) -> HandleRequest:
    runs = {
        CallKind.IDEMPOTENT: make_run_with_extra_attempts(
            parts.policy, dispatch, parts.control
        ),
        CallKind.AT_MOST_ONCE: ownership.run_at_most_once,
    }
    observed_runs = {
        kind: _make_observed_run(parts, run) for kind, run in runs.items()
    }
    admit_request = make_admit_request(
        get_plans=parts.control.get_plans, parse_key=parse_key
    )
    handle_request = make_handle_key_requests(
        handle_request=make_handle_request(
            admit=admit_request, runs=observed_runs
        ),
        issue_key=ownership.issue_key,
        owner=ownership.owner,
    )
    return observe_requests(handle_request, metrics=parts.metrics)


def _make_observed_run(parts: Parts, run: RunCall) -> RunCall:
    return observe_calls(
        run,
        metrics=parts.metrics,
        get_plan_class=partial(_find_plan_class, parts),
        timers=parts.timers,
    )


def make_call_dispatch(parts: Parts) -> Dispatch:
    """Make the function that makes one attempt of a call."""
    rules = parts.server_rules
    return make_dispatch(
        place=rules.make_crash_guard(
            make_recording_place(
                make_zone_counting_place(
                    parts.policy.place, parts.zones_in_flight
                ),
                parts.directory,
                rules.fleet.wanted_servers,
            )
        ),
        send=make_sender(pool=parts.server_pool, timers=parts.timers),
        observers=(
            parts.policy.slot_observer,
            make_response_observer(parts.policy.prober, parts.timers),
            make_zone_observer(parts.zones_in_flight),
            parts.metrics.count_attempt,
            log_attempt,
            *rules.observers,
        ),
        timers=parts.timers,
        begins=rules.begins,
    )


def _find_plan_class(parts: Parts, customer: CustomerId) -> PlanClass:
    plans = parts.control.get_plans()
    plan = plans.find_plan(customer) if plans else None
    return plan.plan_class if plan else PlanClass.SPARE
