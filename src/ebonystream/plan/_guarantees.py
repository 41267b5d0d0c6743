"""Guaranteed rates, held over all entry hosts together.

A host gets the part of a customer's rate that the customer's calls come to it
with. Hosts tell one another in heartbeats how many calls came, so the parts
are divided anew with each heartbeat.
"""

import math
from collections.abc import Mapping

import attrs

from ebonystream._ids import CustomerId, HostId, Monotonic
from ebonystream.configuration import PlanAllowance
from ebonystream.plan._meter import Meter

NEW_COUNT_WEIGHT = 0.2
"""How much the newest period counts against all earlier ones."""

FORGET_BELOW = 0.1
"""Calls a second under which a customer's demand is no longer told."""

FLOOR = 0.1
"""The part of an even division that each host has without any calls."""

MOST_TOLD = 256
"""The most customers whose demand one heartbeat tells."""


@attrs.define
class Demand:
    """How many calls of a customer come to this host.

    Attributes:
        per_second: The rate in recent periods.
        counted: Calls since the period began.
    """

    per_second: float = 0
    counted: int = 0

    def close_period(self, length: float) -> None:
        """Take the period's calls into the rate."""
        newest = self.counted / length
        self.per_second += NEW_COUNT_WEIGHT * (newest - self.per_second)
        self.counted = 0


@attrs.define
class Guarantees:
    """What is left of each customer's guaranteed rate on this host.

    Attributes:
        hosts: How many entry hosts share each rate.
        meters: The part of each customer's rate that is this host's.
        demands: How many calls of each customer come here.
        told: How many come to each other host, as it told.
        period_began: When the present period began.
    """

    hosts: int = 1
    meters: dict[CustomerId, Meter] = attrs.field(factory=dict)
    demands: dict[CustomerId, Demand] = attrs.field(factory=dict)
    told: dict[HostId, Mapping[CustomerId, float]] = attrs.field(factory=dict)
    period_began: Monotonic = Monotonic(0)

    def take(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> bool:
        """Count a call; False where it goes beyond the guaranteed rate.

        Args:
            customer: Whose call it is.
            plan: The customer's plan.
            now: The time.
        """
        self.demands.setdefault(customer, Demand()).counted += 1
        meter = self.meters.get(customer)
        if meter is None:
            meter = self._make_meter(customer, plan, now)
        return meter.take(now)

    def close_period(
        self, plans: Mapping[CustomerId, PlanAllowance], now: Monotonic
    ) -> None:
        """Divide the rates anew; called with each heartbeat.

        Args:
            plans: The plan of each customer.
            now: The time.
        """
        length = max(now - self.period_began, FLOOR)
        self.period_began = now
        for customer, demand in list(self.demands.items()):
            demand.close_period(length)
            plan = plans.get(customer)
            if plan is None or demand.per_second < FORGET_BELOW:
                self.demands.pop(customer)
                self.meters.pop(customer, None)
            else:
                self._resize(customer, plan, now)

    def report(self) -> dict[CustomerId, float]:
        """Give the demand on this host, for its heartbeats."""
        busiest = sorted(
            self.demands.items(),
            key=lambda pair: pair[1].per_second,
            reverse=True,
        )
        return {
            customer: demand.per_second
            for customer, demand in busiest[:MOST_TOLD]
        }

    def take_report(
        self, host: HostId, demands: Mapping[CustomerId, float]
    ) -> None:
        """Take the demand on another host."""
        self.told[host] = demands

    def keep_hosts(self, hosts: frozenset[HostId]) -> None:
        """Forget hosts that are gone.

        Args:
            hosts: The other entry hosts.
        """
        self.hosts = 1 + len(hosts)
        for host in self.told.keys() - hosts:
            self.told.pop(host)

    def _get_part(self, customer: CustomerId, plan: PlanAllowance) -> float:
        own = self.demands[customer].per_second
        others = sum(demands.get(customer, 0) for demands in self.told.values())
        floor = FLOOR * plan.calls_per_second / self.hosts
        return (own + floor) / (own + others + floor * self.hosts)

    def _make_meter(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> Meter:
        part = self._get_part(customer, plan)
        burst = _get_burst(part, plan)
        meter = Meter(
            rate=part * plan.calls_per_second,
            burst=burst,
            tokens=burst,
            at=now,
        )
        return self.meters.setdefault(customer, meter)

    def _resize(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> None:
        part = self._get_part(customer, plan)
        meter = self.meters.get(customer)
        if meter is not None:
            meter.resize(
                rate=part * plan.calls_per_second,
                burst=_get_burst(part, plan),
                now=now,
            )


def _get_burst(part: float, plan: PlanAllowance) -> float:
    # Calls spread over hosts by chance: a host's part of a burst varies with
    # the square root. All hosts at once get past a burst by that factor.
    return max(1, math.sqrt(part) * plan.burst_calls)
