"""Counters and latency histograms of an entry host on the users' platform.

They are rendered as a metrics page only on request, as the library that
renders it takes a fourteenth of a host's memory.
"""

import attrs

from ebonystream._ids import Seconds
from ebonystream.counting import LabeledCounter, LabeledHistogram, Labels
from ebonystream.dispatch import Attempt
from ebonystream.placement import NoCapacity, ProbeResult
from ebonystream.request import Request, Response
from ebonystream.route import Route

NO_ROUTE_LABEL = 'none'
"""Value of the route's labels for a request that matched no route."""


@attrs.define
class HostMetrics:
    """Counters and histograms of this host; each label has few values."""

    response_latencies: LabeledHistogram = attrs.field(
        factory=lambda: LabeledHistogram(
            'ebonystream_answer_seconds',
            'From the first byte of a request to its answer.',
            ('rank', 'kind'),
        )
    )
    responses: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_answers_total',
            'Answers by status.',
            ('rank', 'kind', 'status'),
        )
    )
    error_responses: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_refusals_total',
            'Own answers by kind of error.',
            ('kind',),
        )
    )
    attempt_latencies: LabeledHistogram = attrs.field(
        factory=lambda: LabeledHistogram(
            'ebonystream_attempt_seconds',
            'From a send to its end.',
            ('service',),
        )
    )
    attempts: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_attempts_total',
            'Attempts by how they ended.',
            ('service', 'end'),
        )
    )
    probes: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_questions_total',
            "Questions for a server's load.",
            ('end',),
        )
    )
    store_calls: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_store_calls_total',
            "Calls to the platform's store.",
            ('call',),
        )
    )
    admissions: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_admissions_total',
            'Decisions whether a request may be forwarded, by its key.',
            ('verdict', 'when'),
        )
    )
    hedges: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_hedges_total',
            'Hedges of late requests: sent, refused, won, lost or cancelled.',
            ('service', 'end'),
        )
    )
    rejections: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_rejections_total',
            'Requests for which no server had capacity.',
            ('rank', 'reason'),
        )
    )
    reserve_waits: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_reserve_waits_total',
            'Requests that left free slots to more urgent ones.',
            ('rank', 'end'),
        )
    )
    failed_tasks: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_failed_tasks_total',
            'Errors that ended a task, which was then started again.',
            ('task',),
        )
    )

    usage_reports: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_usage_reports_total',
            'Usage reports that this host sent, by result.',
            ('result',),
        )
    )
    usage_sends: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_usage_sends_total',
            'Counts sent to the host that reports usage, by result.',
            ('result',),
        )
    )

    def count_response(
        self, route: Route | None, response: Response, duration: Seconds
    ) -> None:
        """Count a response to a caller.

        Args:
            route: The route of the request; None if it matched none.
            response: The response.
            duration: Time since the first byte of the request, in seconds.
        """
        labels = _label_route(route)
        self.response_latencies.observe(duration, *labels)
        self.responses.increment(*labels, str(response.status))
        if response.error is not None:
            self.error_responses.increment(response.error.value)

    def count_attempt(
        self, request: Request, route: Route, attempt: Attempt
    ) -> None:
        """Count an attempt.

        Args:
            request: The request of the attempt.
            route: The route of the request.
            attempt: The attempt, after its end.
        """
        server = attempt.candidate.probe_result.server
        service = server.entry.service
        self.attempt_latencies.observe(attempt.duration, service)
        self.attempts.increment(service, attempt.describe())
        if attempt.candidate.was_held:
            self.reserve_waits.increment(str(route.rank), 'started')

    def count_rejection(self, route: Route, rejection: NoCapacity) -> None:
        """Count a request for which no server had capacity.

        Args:
            route: The route of the request.
            rejection: Why no server was selected.
        """
        self.rejections.increment(str(route.rank), rejection.reason)
        if rejection.was_held:
            self.reserve_waits.increment(str(route.rank), 'rejected')

    def count_probe(self, result: ProbeResult) -> None:
        """Count a probe of a server.

        Args:
            result: The result of the probe.
        """
        answered = result.report is not None
        self.probes.increment('answered' if answered else 'silent')

    def list_counts(self) -> tuple[LabeledCounter, ...]:
        """List the counters."""
        without_attempts = (
            self.responses,
            self.error_responses,
            self.probes,
            self.store_calls,
            self.failed_tasks,
            self.admissions,
            self.hedges,
            self.usage_reports,
            self.usage_sends,
            self.rejections,
            self.reserve_waits,
        )
        return (*without_attempts, self.attempts)

    def list_latencies(self) -> tuple[LabeledHistogram, ...]:
        """List the histograms."""
        return (self.response_latencies, self.attempt_latencies)


def _label_route(route: Route | None) -> Labels:
    if route is None:
        return (NO_ROUTE_LABEL, NO_ROUTE_LABEL)
    return (str(route.rank), route.kind.value)
