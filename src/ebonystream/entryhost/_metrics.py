"""What an entry host on the users' platform counts.

The counts become a page of metrics only where somebody asks for it, since the
library that spells it takes a fourteenth of a host's memory.
"""

import attrs

from ebonystream._ids import Seconds
from ebonystream.counting import LabeledCounter, LabeledHistogram, Labels
from ebonystream.dispatch import Attempt
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, Response
from ebonystream.route import Route

NO_ROUTE = 'none'
"""Stands for the route's figures where a request has no route."""


@attrs.define
class HostMetrics:
    """What this host counts, by labels with few values."""

    answer_latencies: LabeledHistogram = attrs.field(
        factory=lambda: LabeledHistogram(
            'ebonystream_answer_seconds',
            'From the first byte of a request to its answer.',
            ('rank', 'kind'),
        )
    )
    answers: LabeledCounter = attrs.field(
        factory=lambda: LabeledCounter(
            'ebonystream_answers_total',
            'Answers by status.',
            ('rank', 'kind', 'status'),
        )
    )
    refusals: LabeledCounter = attrs.field(
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
    questions: LabeledCounter = attrs.field(
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

    def count_answer(
        self, route: Route | None, response: Response, took: Seconds
    ) -> None:
        """Count an answer to a caller.

        Args:
            route: The route of its request; None where there is none.
            response: The answer.
            took: From the first byte of the request to now, in seconds.
        """
        labels = _label_route(route)
        self.answer_latencies.observe(took, *labels)
        self.answers.increment(*labels, str(response.status))
        if response.error is not None:
            self.refusals.increment(response.error.value)

    def count_attempt(
        self, request: Request, route: Route, attempt: Attempt
    ) -> None:
        """Count an attempt; an observer of attempts.

        Args:
            request: The request.
            route: Its route.
            attempt: The attempt.
        """
        server = attempt.offer.probe_result.server
        service = server.entry.service
        self.attempt_latencies.observe(attempt.duration, service)
        self.attempts.increment(service, attempt.describe())

    def count_question(self, sighting: ProbeResult) -> None:
        """Count a question for a server's load.

        Args:
            sighting: What it brought.
        """
        answered = sighting.report is not None
        self.questions.increment('answered' if answered else 'silent')

    def list_counts(self) -> tuple[LabeledCounter, ...]:
        """List the figures that only grow."""
        own = (self.answers, self.refusals, self.questions, self.store_calls)
        return (*own, self.attempts)

    def list_latencies(self) -> tuple[LabeledHistogram, ...]:
        """List the histograms."""
        return (self.answer_latencies, self.attempt_latencies)


def _label_route(route: Route | None) -> Labels:
    if route is None:
        return (NO_ROUTE, NO_ROUTE)
    return (str(route.rank), route.kind.value)
