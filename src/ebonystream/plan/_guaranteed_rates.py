"""Guaranteed rates of customers, enforced over all entry hosts together.

The rate of a customer is divided among the hosts in proportion to the calls
that each host receives from the customer. Hosts report this demand in their
heartbeats, and each host recomputes its share periodically.
"""

import math
from collections.abc import Mapping

import attrs

from ebonystream._ids import CustomerId, HostId, Monotonic
from ebonystream.configuration import PlanAllowance
from ebonystream.plan._token_bucket import TokenBucket

LATEST_PERIOD_WEIGHT = 0.2
"""Weight of the latest period in the exponential moving average of demand."""

MIN_CALLS_PER_SECOND = 0.1
"""Demand in calls per second below which a customer is evicted."""

FLOOR = 0.1
"""Fraction of an even share that each host gets even without any calls. Also
the shortest period that a rate is computed over, in seconds."""

MAX_REPORTED_CUSTOMERS = 256
"""Upper bound on the customers whose demand one heartbeat reports."""


@attrs.define
class Demand:
    """Rate of a customer's calls to this host.

    Attributes:
        per_second: Moving average of the rate, in calls per second.
        period_calls: Number of calls since the start of the period.
    """

    per_second: float = 0
    period_calls: int = 0

    def end_period(self, duration: float) -> None:
        """Update the moving average at the end of a period.

        Args:
            duration: Length of the period, in seconds.
        """
        latest = self.period_calls / duration
        self.per_second += LATEST_PERIOD_WEIGHT * (latest - self.per_second)
        self.period_calls = 0


@attrs.define
class GuaranteedRates:
    """This host's shares of the customers' guaranteed rates.

    Attributes:
        host_count: Number of entry hosts that share each rate.
        buckets: Token bucket of each customer, with this host's share.
        demands: Demand of each customer on this host.
        remote_demands: Calls per second of each customer, as reported by each
            peer.
        period_start: Start of the current period, on the monotonic clock.
    """

    host_count: int = 1
    buckets: dict[CustomerId, TokenBucket] = attrs.field(factory=dict)
    demands: dict[CustomerId, Demand] = attrs.field(factory=dict)
    remote_demands: dict[HostId, Mapping[CustomerId, float]] = attrs.field(
        factory=dict
    )
    period_start: Monotonic = Monotonic(0)

    def try_acquire(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> bool:
        """Record a call and return whether it is within the guaranteed rate.

        Args:
            customer: Customer that sent the call.
            plan: Plan of the customer.
            now: Current time on the monotonic clock, in seconds.
        """
        self.demands.setdefault(customer, Demand()).period_calls += 1
        bucket = self.buckets.get(customer)
        if bucket is None:
            bucket = self._make_bucket(customer, plan, now)
        return bucket.try_acquire(now)

    def end_period(
        self, plans: Mapping[CustomerId, PlanAllowance], now: Monotonic
    ) -> None:
        """Update the demands and recompute this host's shares.

        Customers without a plan or with little demand are evicted.

        Args:
            plans: Plan of each customer.
            now: Current time on the monotonic clock, in seconds.
        """
        duration = max(now - self.period_start, FLOOR)
        self.period_start = now
        for customer, demand in list(self.demands.items()):
            demand.end_period(duration)
            plan = plans.get(customer)
            if plan is None or demand.per_second < MIN_CALLS_PER_SECOND:
                self.demands.pop(customer)
                self.buckets.pop(customer, None)
            else:
                self._resize(customer, plan, now)

    def report(self) -> dict[CustomerId, float]:
        """Return the demand on this host for its heartbeats.

        The values are in calls per second. Only the customers with the highest
        demand are included.
        """
        by_demand = sorted(
            self.demands.items(),
            key=lambda pair: pair[1].per_second,
            reverse=True,
        )
        return {
            customer: demand.per_second
            for customer, demand in by_demand[:MAX_REPORTED_CUSTOMERS]
        }

    def record_report(
        self, host: HostId, demands: Mapping[CustomerId, float]
    ) -> None:
        """Record the demand on another host.

        Args:
            host: The entry host that reports.
            demands: Calls per second of each customer.
        """
        self.remote_demands[host] = demands

    def retain_hosts(self, hosts: frozenset[HostId]) -> None:
        """Update the number of hosts and evict the reports of departed ones.

        Args:
            hosts: All other entry hosts.
        """
        self.host_count = 1 + len(hosts)
        for host in self.remote_demands.keys() - hosts:
            self.remote_demands.pop(host)

    def _compute_share(
        self, customer: CustomerId, plan: PlanAllowance
    ) -> float:
        local = self.demands[customer].per_second
        remote = sum(
            demands.get(customer, 0) for demands in self.remote_demands.values()
        )
        floor = FLOOR * plan.calls_per_second / self.host_count
        return (local + floor) / (local + remote + floor * self.host_count)

    def _make_bucket(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> TokenBucket:
        share = self._compute_share(customer, plan)
        burst = _compute_burst(share, plan)
        bucket = TokenBucket(
            rate=share * plan.calls_per_second,
            burst=burst,
            tokens=burst,
            updated_at=now,
        )
        return self.buckets.setdefault(customer, bucket)

    def _resize(
        self, customer: CustomerId, plan: PlanAllowance, now: Monotonic
    ) -> None:
        share = self._compute_share(customer, plan)
        bucket = self.buckets.get(customer)
        if bucket is not None:
            bucket.resize(
                rate=share * plan.calls_per_second,
                burst=_compute_burst(share, plan),
                now=now,
            )


def _compute_burst(share: float, plan: PlanAllowance) -> float:
    # Calls reach the hosts at random, so a host's part of a burst fluctuates;
    # scaling with the square root of the share allows for that. The bursts of
    # all hosts together exceed the plan's burst by the corresponding factor.
    return max(1, math.sqrt(share) * plan.burst_calls)
