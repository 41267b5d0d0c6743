"""Wiring of hedging: its setting, log lines and metrics."""

import math
import os
from collections.abc import Mapping
from functools import partial

from ebonystream.dispatch import HedgeDecision, HedgeEnd, HedgeRules
from ebonystream.entryhost._parts import HostParts
from ebonystream.hedging import HedgeBudget, Lateness, choose_quantile
from ebonystream.placement import (
    Candidate,
    FindIdleServer,
    PlacementRequest,
    SearchContext,
    make_find_idle_server,
)
from ebonystream.request import Request
from ebonystream.route import Route

HEDGE_VARIABLE = 'EBONYSTREAM_HEDGE_RATIO'
"""Environment variable with the hedges allowed for each first attempt."""

MS_PER_SECOND = 1000


def read_hedge_ratio(environment: Mapping[str, str]) -> float:
    """Read the hedges allowed for each first attempt; 0 if unset.

    Args:
        environment: The environment of the process.

    Raises:
        ValueError: The variable is not a number from 0 to 1.
    """
    text = environment.get(HEDGE_VARIABLE, '').strip()
    if not text:
        return 0
    try:
        ratio = float(text)
    except ValueError:
        ratio = math.nan
    if not 0 <= ratio <= 1:
        raise ValueError(f'{HEDGE_VARIABLE} is not from 0 to 1: {text[:20]!r}')
    return ratio


def make_hedge_rules(
    parts: HostParts, context: SearchContext
) -> HedgeRules | None:
    """Return the rules of hedging; None where it is switched off.

    Args:
        parts: The state of the host.
        context: Dependencies and state of the search for a server.

    Raises:
        ValueError: The setting is invalid.
    """
    ratio = read_hedge_ratio(os.environ)
    if ratio == 0:
        return None
    parts.log_event('hedging', ratio=ratio)
    return HedgeRules(
        budget=HedgeBudget(ratio),
        lateness=Lateness(choose_quantile(ratio)),
        find_idle_server=_stop_with_host(parts, make_find_idle_server(context)),
        observe_decision=partial(_observe_decision, parts),
        observe_end=partial(_observe_end, parts),
    )


def _stop_with_host(
    parts: HostParts, find_idle_server: FindIdleServer
) -> FindIdleServer:
    """Wrap a search so that it finds no server once searches are stopped."""

    async def find_until_stopped(request: PlacementRequest) -> Candidate | None:
        if parts.searches.stopped:
            return None
        found = await find_idle_server(request)
        return None if parts.searches.stopped else found

    return find_until_stopped


def _observe_decision(
    parts: HostParts, request: Request, route: Route, decision: HedgeDecision
) -> None:
    """Log and count a decision about a late attempt."""
    server = decision.candidate.probe_result.server.entry
    refusal = decision.refusal
    ended = 'sent' if refusal is None else f'refused_{refusal.value}'
    parts.metrics.hedges.increment(server.service, ended)
    hedge = decision.hedge
    parts.log_event(
        'hedge_decided',
        id=request.attempt_id,
        route=route.name,
        server=server.id,
        decided=ended,
        waited_ms=_to_ms(decision.waited),
        expected_ms=_to_ms(decision.candidate.expected_latency),
        late_from=round(decision.estimate.lateness, 2),
        samples=decision.estimate.samples,
        oldest_s=round(decision.estimate.age, 1),
        hedge=hedge.probe_result.server.entry.id if hedge else None,
        hedge_expected_ms=_to_ms(hedge.expected_latency) if hedge else None,
    )


def _observe_end(
    parts: HostParts,
    request: Request,
    route: Route,
    decision: HedgeDecision,
    end: HedgeEnd,
) -> None:
    """Log and count the end of a hedge."""
    server = decision.candidate.probe_result.server.entry
    parts.metrics.hedges.increment(server.service, end.value)
    parts.log_event(
        'hedge_ended', id=request.attempt_id, route=route.name, ended=end.value
    )


def _to_ms(seconds: float) -> float:
    return round(seconds * MS_PER_SECOND, 1)
