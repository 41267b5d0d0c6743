"""The metrics of one entry host, in the Prometheus text format.

Series are bounded: a label takes its values from the operators' lists, the
host list or a closed list of kinds, never from what a caller sent.
"""

from collections.abc import Callable

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ebonystream._ids import Seconds
from ebonystream.backend import Attempt, BackendServer
from ebonystream.call import Answer, Call
from ebonystream.configuration import PlanClass

LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)

ReadGauge = Callable[[], float]
"""Reads a figure at the moment it is asked for."""


@attrs.define
class Metrics:
    """What this host counts.

    Attributes:
        registry: Every metric.
        calls: Latency of calls in seconds, by customer and plan class.
        outcomes: Calls by customer, plan class and outcome.
        refusals: The system's own answers by kind of error.
        attempts: Attempts by service and how they ended.
        gauges: Figures that are read when the metrics are asked for.
    """

    registry: Registry = attrs.field(factory=Registry)
    calls: Histogram = attrs.field(init=False)
    outcomes: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)
    gauges: dict[str, tuple[Gauge, ReadGauge]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Make the metrics that every host has."""
        self.calls = Histogram(
            'ebonystream_call_seconds',
            'Latency of calls, from admission to answer.',
            buckets=list(LATENCY_BUCKETS_SECONDS),
            registry=self.registry,
        )
        self.outcomes = self._make_counter(
            'ebonystream_calls_total', 'Calls by outcome.'
        )
        self.refusals = self._make_counter(
            'ebonystream_refusals_total', 'Own answers by kind of error.'
        )
        self.attempts = self._make_counter(
            'ebonystream_attempts_total', 'Attempts by how they ended.'
        )

    def add_gauge(self, name: str, doc: str, read: ReadGauge) -> None:
        """Add a figure that is read when the metrics are asked for.

        Args:
            name: The metric's name, with its unit.
            doc: What it tells.
            read: Reads it.
        """
        gauge = Gauge(name, doc, registry=self.registry)
        self.gauges[name] = (gauge, read)

    def count_call(
        self, call: Call, plan_class: PlanClass, answer: Answer, took: Seconds
    ) -> None:
        """Count one call that was answered.

        Args:
            call: The call.
            plan_class: The class of its customer's plan.
            answer: Its answer.
            took: How long that took, in seconds.
        """
        labels = {'customer': call.customer, 'class': plan_class.value}
        self.calls.observe(labels, took)
        self.outcomes.inc({**labels, 'outcome': answer.outcome.value})

    def count_refusal(self, answer: Answer) -> None:
        """Count an answer that the system itself gave, if it is one."""
        if answer.error is not None:
            self.refusals.inc({'kind': answer.error.value})

    def count_attempt(
        self,
        call: Call,
        server: BackendServer,
        attempt: Attempt,
        took: Seconds,
    ) -> None:
        """Count one attempt; an observer of attempts."""
        labels = {'service': server.service, 'end': attempt.kind.value}
        self.attempts.inc(labels)

    def _make_counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)


def render_metrics(metrics: Metrics) -> tuple[bytes, str]:
    """Spell the metrics as text and name its content type.

    Args:
        metrics: The metrics of this host.
    """
    for gauge, read in metrics.gauges.values():
        gauge.set({}, read())
    text, headers = render(metrics.registry, [])
    return text, headers['Content-Type']
