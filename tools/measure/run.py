"""Runs one policy under one load and summarizes the results."""

import math
from functools import partial
from random import Random
from typing import Any

import attrs

from measure.baselines import (
    make_baseline,
    make_oracle,
    make_random,
    make_round_robin,
    make_two_choices,
)
from measure.load import Load, draw_arrivals, schedule_slowdowns
from measure.loop import Loop
from measure.product import ZONE_OUT_START, Product
from measure.wire import Network, RecordOutcome, SubmitCall
from measure.world import Arrival, Server, make_servers

WARM_UP_SHARE = 0.1
"""Share of the run at its start in which calls are not counted."""

PERCENTILES = (('p50', 0.5), ('p99', 0.99), ('p999', 0.999))


@attrs.define
class CallStatistics:
    """Latencies and outcomes of calls.

    Attributes:
        loop: Source of the current time.
        load: The load of the run.
        latencies: Latencies of completed and late calls, in seconds, by plan
            class.
        outcome_counts: Number of calls by plan class and outcome.
    """

    loop: Loop
    load: Load
    latencies: dict[str, list[float]] = attrs.field(factory=dict)
    outcome_counts: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def record(self, arrival: Arrival, outcome: str) -> None:
        """Record the end of a call."""
        if arrival.sent_at < WARM_UP_SHARE * self.load.duration:
            return
        for name in (arrival.plan_class.value, 'all'):
            counts = self.outcome_counts.setdefault(name, {})
            counts[outcome] = counts.get(outcome, 0) + 1
            if outcome in {'ran', 'late'}:
                latency = (
                    self.loop.now
                    - arrival.sent_at
                    + self.load.site.client_delay
                )
                self.latencies.setdefault(name, []).append(latency)

    def summarize(self) -> dict[str, Any]:
        """Return latency percentiles, in ms, and counts for each plan class."""
        return {
            name: counts
            | _get_percentiles_ms(sorted(self.latencies.get(name, ())))
            for name, counts in sorted(self.outcome_counts.items())
        }


def _get_percentiles_ms(sorted_latencies: list[float]) -> dict[str, float]:
    last = len(sorted_latencies) - 1
    if last < 0:
        return {name: math.nan for name, _ in PERCENTILES}
    return {
        name: round(
            1000
            * sorted_latencies[min(last, int(share * len(sorted_latencies)))],
            2,
        )
        for name, share in PERCENTILES
    }


def _make_policy(
    policy: str,
    load: Load,
    loop: Loop,
    servers: list[Server],
    record_outcome: RecordOutcome,
) -> tuple[SubmitCall, Network, Product | None]:
    network = Network(loop)
    if policy in PRODUCTS:
        has_hedging = policy == HEDGED
        product = Product(
            load, loop, servers, network, record_outcome, has_hedging
        )
        product.start_hosts()
        return product.submit, network, product
    random = Random(f'{load.seed} policy')
    in_flight: dict[tuple[int, str], int] = {}
    choose_server = {
        'random': lambda: make_random(servers, random),
        'round_robin': lambda: make_round_robin(servers, random),
        'two_choices': lambda: make_two_choices(servers, random, in_flight),
        'oracle': lambda: make_oracle(servers, random),
    }[policy]()
    return (
        make_baseline(choose_server, network, record_outcome, in_flight),
        network,
        None,
    )


HEDGED = 'product_hedged'
"""The product where every plan includes hedges."""

PRODUCTS = ('product', HEDGED)

POLICIES = ('product', 'oracle', 'two_choices', 'round_robin', 'random')


def run_policy(policy: str, load: Load) -> dict[str, Any]:
    """Run one policy under a load and return the results, by name."""
    loop = Loop()
    servers = make_servers(load.site, loop)
    statistics = CallStatistics(loop, load)
    submit, network, product = _make_policy(
        policy, load, loop, servers, statistics.record
    )
    for arrival in draw_arrivals(load):
        loop.call_after(
            arrival.sent_at + load.site.client_delay, partial(submit, arrival)
        )
    if load.has_slow_servers:
        schedule_slowdowns(load, servers, loop)
    loop.run()
    busy_seconds = sum(server.busy_seconds for server in servers)
    return {
        'policy': policy,
        'site': load.site.name,
        'hosts': load.host_count,
        'load': load.utilization,
        'faults': load.has_slow_servers,
        'zone_out': load.has_zone_out,
        'classes': statistics.summarize(),
        'most_in_flight': max(server.max_in_flight for server in servers),
        'connect_share': round(
            network.opened_connections * 0.001 / busy_seconds, 5
        ),
        'messages_per_call': round(product.message_count / load.call_count, 2)
        if product
        else 0,
        'hedge_share': _get_hedge_share(product),
        'busy_ms_per_call': round(1000 * busy_seconds / load.call_count, 3),
        'last_new_call_s': _get_last_call_delay(load, product),
    }


def _get_hedge_share(product: Product | None) -> float:
    if product is None or not product.has_hedging:
        return 0
    budgets = [host.hedge_budget for host in product.hosts]
    first_attempts = sum(budget.first_attempts for budget in budgets)
    return round(
        sum(budget.extra_attempts for budget in budgets) / first_attempts, 4
    )


def _get_last_call_delay(load: Load, product: Product | None) -> float | None:
    if product is None or not load.has_zone_out:
        return None
    return round(
        product.last_call_to_zone_at - ZONE_OUT_START * load.duration, 3
    )
