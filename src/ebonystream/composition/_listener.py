"""Wires the path of a call, from the caller's connection to a back end."""

from functools import partial

from ebonystream._ids import CustomerId, IdempotencyKey
from ebonystream.backend import (
    Dispatch,
    make_dispatch,
    make_idempotent_run,
)
from ebonystream.call import CallKind, make_admission, make_serving
from ebonystream.caller import CallerLimits, CallerListener
from ebonystream.composition._moves import guard_place, make_zone_observer
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import PlanClass
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import ReaderLimits
from ebonystream.observation import log_attempt, observe_run, observe_serve
from ebonystream.upstream import make_sender


def make_listener(parts: Parts) -> CallerListener:
    """Make the listener for callers."""
    callers = parts.settings.callers
    run = make_idempotent_run(
        dispatch=_make_dispatch(parts),
        timers=parts.timers,
        count_retries=lambda call: 0,
    )
    admit = make_admission(
        get_plans=parts.control.get_plans, parse_key=_refuse_key
    )
    observed = observe_run(
        run,
        metrics=parts.metrics,
        find_class=partial(_find_class, parts),
        timers=parts.timers,
    )
    serve = make_serving(admit=admit, runs={CallKind.IDEMPOTENT: observed})
    return CallerListener(
        serve=observe_serve(serve, metrics=parts.metrics),
        limits=CallerLimits(
            message=ReaderLimits(
                head_bytes=callers.max_head_bytes,
                body_bytes=callers.max_body_bytes,
            ),
            receive=convert_ms(callers.receive_timeout_ms),
            idle=convert_ms(callers.idle_timeout_ms),
        ),
        max_connections=callers.max_connections,
        drain_grace=convert_ms(callers.drain_grace_ms),
        timers=parts.timers,
    )


def _make_dispatch(parts: Parts) -> Dispatch:
    rules = parts.server_rules
    return make_dispatch(
        place=guard_place(parts.policy.place, parts.zones_in_flight),
        send=make_sender(pool=parts.pool, timers=parts.timers),
        observers=(
            parts.policy.learn,
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


def _refuse_key(sent: bytes) -> IdempotencyKey:
    raise EbonystreamError(ErrorKind.KEY_MALFORMED, sent.decode('latin-1'))
