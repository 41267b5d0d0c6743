"""What an entry host on the users' platform counts.

The counts become a page of metrics only where somebody asks for it, since the
library that spells it takes a fourteenth of a host's memory.
"""

import attrs

from ebonystream._ids import Seconds
from ebonystream.counting import Counts, Labels, LatencyCounts
from ebonystream.dispatch import Attempt
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, Response
from ebonystream.route import Route

NO_ROUTE = 'none'
"""Stands for the route's figures where a request has no route."""


@attrs.define
class HostMetrics:
    """What this host counts, by labels with few values."""

    answer_latencies: LatencyCounts = attrs.field(
        factory=lambda: LatencyCounts(
            'ebonystream_answer_seconds',
            'From the first byte of a request to its answer.',
            ('rank', 'kind'),
        )
    )
    answers: Counts = attrs.field(
        factory=lambda: Counts(
            'ebonystream_answers_total',
            'Answers by status.',
            ('rank', 'kind', 'status'),
        )
    )
    refusals: Counts = attrs.field(
        factory=lambda: Counts(
            'ebonystream_refusals_total',
            'Own answers by kind of error.',
            ('kind',),
        )
    )
    attempt_latencies: LatencyCounts = attrs.field(
        factory=lambda: LatencyCounts(
            'ebonystream_attempt_seconds',
            'From a send to its end.',
            ('service',),
        )
    )
    attempts: Counts = attrs.field(
        factory=lambda: Counts(
            'ebonystream_attempts_total',
            'Attempts by how they ended.',
            ('service', 'end'),
        )
    )
    questions: Counts = attrs.field(
        factory=lambda: Counts(
            'ebonystream_questions_total',
            "Questions for a server's load.",
            ('end',),
        )
    )
    store_calls: Counts = attrs.field(
        factory=lambda: Counts(
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
        self.answer_latencies.add(took, *labels)
        self.answers.add(*labels, str(response.status))
        if response.error is not None:
            self.refusals.add(response.error.value)

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
        self.attempt_latencies.add(attempt.duration, service)
        self.attempts.add(service, attempt.describe())

    def count_question(self, sighting: ProbeResult) -> None:
        """Count a question for a server's load.

        Args:
            sighting: What it brought.
        """
        answered = sighting.report is not None
        self.questions.add('answered' if answered else 'silent')

    def list_counts(self) -> tuple[Counts, ...]:
        """List the figures that only grow."""
        own = (self.answers, self.refusals, self.questions, self.store_calls)
        return (*own, self.attempts)

    def list_latencies(self) -> tuple[LatencyCounts, ...]:
        """List the histograms."""
        return (self.answer_latencies, self.attempt_latencies)


def _label_route(route: Route | None) -> Labels:
    if route is None:
        return (NO_ROUTE, NO_ROUTE)
    return (str(route.rank), route.kind.value)
