"""Metrics of calls and attempts on one entry host."""

import attrs
from aioprometheus import Counter, Histogram

from ebonystream._ids import Seconds
from ebonystream.backend import Attempt, BackendServer
from ebonystream.call import Call, CallResponse
from ebonystream.configuration import PlanClass
from ebonystream.metrics import MetricsPage


@attrs.define
class Metrics:
    """Metrics of calls and attempts on this host.

    Attributes:
        page: Page that exposes every metric.
        call_latencies: Latency of calls in seconds, by customer and plan class.
        call_outcomes: Number of calls by customer, plan class and outcome.
        refusals: Number of error responses that this system generated, by
            kind of error.
        attempts: Number of attempts by service and kind of result.
    """

    page: MetricsPage = attrs.field(factory=MetricsPage)
    call_latencies: Histogram = attrs.field(init=False)
    call_outcomes: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics on the page."""
        self.call_latencies = self.page.add_latency_histogram(
            'ebonystream_call_seconds',
            'Latency of calls, from admission to answer.',
        )
        self.call_outcomes = self.page.add_counter(
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
        response: CallResponse,
        latency: Seconds,
    ) -> None:
        """Count one call and record its latency.

        Args:
            call: The call.
            plan_class: Class of the customer's plan.
            response: Response to the call.
            latency: Time from admission to response, in seconds.
        """
        labels = {'customer': call.customer, 'class': plan_class.value}
        self.call_latencies.observe(labels, latency)
        self.call_outcomes.inc({**labels, 'outcome': response.outcome.value})

    def count_refusal(self, response: CallResponse) -> None:
        """Count a response if this system generated it for an error."""
        if response.error is not None:
            self.refusals.inc({'kind': response.error.value})

    def count_attempt(
        self,
        call: Call,
        server: BackendServer,
        attempt: Attempt,
        duration: Seconds,
    ) -> None:
        """Count one attempt.

        The signature is that of an observer of attempts; neither the call nor
        the duration is counted.

        Args:
            call: The call.
            server: Backend server that the attempt was sent to.
            attempt: The attempt.
            duration: Duration of the attempt, in seconds.
        """
        labels = {'service': server.service, 'end': attempt.kind.value}
        self.attempts.inc(labels)
