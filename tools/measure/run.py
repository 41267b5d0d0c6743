"""One run of one policy, and what came of it."""

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
from measure.load import Load, draw_arrivals, plan_slowness
from measure.loop import Loop
from measure.product import OUT_FROM, Product
from measure.wire import Finish, Submit, Wire
from measure.world import Arrival, Server, make_servers

WARM_UP = 0.1
"""The first share of the calls is not counted."""

PERCENTILES = (('p50', 0.5), ('p99', 0.99), ('p999', 0.999))


@attrs.define
class Tally:
    """The ends of calls.

    Attributes:
        loop: Tells the time.
        load: What was sent.
        times: For each class, the times of answered and late calls.
        ends: For each class and end, how many.
    """

    loop: Loop
    load: Load
    times: dict[str, list[float]] = attrs.field(factory=dict)
    ends: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def finish(self, arrival: Arrival, end: str) -> None:
        """Note the end of a call."""
        if arrival.at < WARM_UP * self.load.length:
            return
        for name in (arrival.plan_class.value, 'all'):
            ends = self.ends.setdefault(name, {})
            ends[end] = ends.get(end, 0) + 1
            if end in {'ran', 'late'}:
                took = self.loop.now - arrival.at + self.load.site.client_hop
                self.times.setdefault(name, []).append(took)

    def summarize(self) -> dict[str, Any]:
        """Give percentiles in milliseconds and counts, for each class."""
        return {
            name: ends | _rank_times(sorted(self.times.get(name, ())))
            for name, ends in sorted(self.ends.items())
        }


def _rank_times(times: list[float]) -> dict[str, float]:
    last = len(times) - 1
    if last < 0:
        return {name: math.nan for name, _ in PERCENTILES}
    return {
        name: round(1000 * times[min(last, int(part * len(times)))], 2)
        for name, part in PERCENTILES
    }


def _make_policy(
    policy: str,
    load: Load,
    loop: Loop,
    servers: list[Server],
    finish: Finish,
) -> tuple[Submit, Wire, Product | None]:
    wire = Wire(loop)
    if policy in PRODUCTS:
        hedging = policy == HEDGED
        product = Product(load, loop, servers, wire, finish, hedging)
        product.build()
        return product.submit, wire, product
    random = Random(f'{load.seed} policy')
    count: dict[tuple[int, str], int] = {}
    pick = {
        'random': lambda: make_random(servers, random),
        'round_robin': lambda: make_round_robin(servers, random),
        'two_choices': lambda: make_two_choices(servers, random, count),
        'oracle': lambda: make_oracle(servers, random),
    }[policy]()
    return make_baseline(pick, wire, finish, count), wire, None


HEDGED = 'product_hedged'
"""The product where every plan bought hedges."""

PRODUCTS = ('product', HEDGED)

POLICIES = ('product', 'oracle', 'two_choices', 'round_robin', 'random')


def run_policy(policy: str, load: Load) -> dict[str, Any]:
    """Run one policy on the calls of a load."""
    loop = Loop()
    servers = make_servers(load.site, loop)
    tally = Tally(loop, load)
    submit, wire, product = _make_policy(
        policy, load, loop, servers, tally.finish
    )
    for arrival in draw_arrivals(load):
        loop.call_after(
            arrival.at + load.site.client_hop, partial(submit, arrival)
        )
    if load.slow:
        plan_slowness(load, servers, loop)
    loop.run()
    busy = sum(server.busy_seconds for server in servers)
    return {
        'policy': policy,
        'site': load.site.name,
        'hosts': load.hosts,
        'load': load.share,
        'faults': load.slow,
        'zone_out': load.zone_out,
        'classes': tally.summarize(),
        'most_in_flight': max(server.most_on_way for server in servers),
        'connect_share': round(wire.opened * 0.001 / busy, 5),
        'messages_per_call': round(product.messages / load.calls, 2)
        if product
        else 0,
        'hedge_share': _share_hedges(product),
        'busy_ms_per_call': round(1000 * busy / load.calls, 3),
        'last_new_call_s': _find_last_call(load, product),
    }


def _share_hedges(product: Product | None) -> float:
    if product is None or not product.hedging:
        return 0
    budgets = [host.hedges for host in product.hosts]
    earned = sum(budget.first_attempts for budget in budgets)
    return round(sum(budget.extra_attempts for budget in budgets) / earned, 4)


def _find_last_call(load: Load, product: Product | None) -> float | None:
    if product is None or not load.zone_out:
        return None
    return round(product.last_in_zone - OUT_FROM * load.length, 3)
