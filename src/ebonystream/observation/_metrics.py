"""The metrics of one entry host of the product's own interface."""

import attrs
from aioprometheus import Counter, Histogram

from ebonystream._ids import Seconds
from ebonystream.backend import Attempt, BackendServer
from ebonystream.call import Call, CallResponse
from ebonystream.configuration import PlanClass
from ebonystream.metrics import MetricsPage


@attrs.define
class Metrics:
    """What this host counts.

    Attributes:
        page: Every metric.
        calls: Latency of calls in seconds, by customer and plan class.
        outcomes: Calls by customer, plan class and outcome.
        refusals: The system's own answers by kind of error.
        attempts: Attempts by service and how they ended.
    """

    page: MetricsPage = attrs.field(factory=MetricsPage)
    calls: Histogram = attrs.field(init=False)
    outcomes: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the metrics that every host has."""
        self.calls = self.page.add_latencies(
            'ebonystream_call_seconds',
            'Latency of calls, from admission to answer.',
        )
        self.outcomes = self.page.add_counter(
            'ebonystream_calls_total', 'Calls by outcome.'
        )
        self.refusals = self.page.add_counter(
            'ebonystream_refusals_total', 'Own answers by kind of error.'
        )
        self.attempts = self.page.add_counter(
            'ebonystream_attempts_total', 'Attempts by how they ended.'
        )

    def count_call(
        self,
        call: Call,
        plan_class: PlanClass,
        answer: CallResponse,
        took: Seconds,
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

    def count_refusal(self, answer: CallResponse) -> None:
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
