"""What an entry host on the users' platform counts, and shows on demand."""

import resource
import time

import attrs
from aioprometheus import Counter, Histogram

from ebonystream._ids import Seconds
from ebonystream.dispatch import Attempt
from ebonystream.metrics import MetricsPage
from ebonystream.placement import Sighting
from ebonystream.request import Request, Response
from ebonystream.route import Route

NO_ROUTE = 'none'
"""Stands for the route's figures where a request has no route."""

KB = 1024


@attrs.define
class HostMetrics:
    """What this host counts.

    Attributes:
        page: Every metric.
        latencies: Seconds from a request's first byte to its answer, by the
            route's urgency and kind.
        answers: Answers by urgency, kind and status.
        refusals: The system's own answers by kind of error.
        attempts: Attempts at backend servers by service and end.
        work: Seconds that attempts took, by service.
        questions: Questions for a server's load, by whether it answered.
        store_calls: Calls to the platform's store, by name.
    """

    page: MetricsPage = attrs.field(factory=MetricsPage)
    latencies: Histogram = attrs.field(init=False)
    answers: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    attempts: Counter = attrs.field(init=False)
    work: Histogram = attrs.field(init=False)
    questions: Counter = attrs.field(init=False)
    store_calls: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the metrics that every host has."""
        page = self.page
        self.latencies = page.add_latencies(
            'ebonystream_answer_seconds', 'From the first byte to the answer.'
        )
        self.answers = page.add_counter(
            'ebonystream_answers_total', 'Answers by status.'
        )
        self.refusals = page.add_counter(
            'ebonystream_refusals_total', 'Own answers by kind of error.'
        )
        self.attempts = page.add_counter(
            'ebonystream_attempts_total', 'Attempts by how they ended.'
        )
        self.work = page.add_latencies(
            'ebonystream_attempt_seconds', 'From a send to its end.'
        )
        self.questions = page.add_counter(
            'ebonystream_questions_total', 'Questions for a load.'
        )
        self.store_calls = page.add_counter(
            'ebonystream_store_calls_total', "Calls to the platform's store."
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
        self.latencies.observe(labels, took)
        self.answers.inc({**labels, 'status': str(response.status)})
        if response.error is not None:
            self.refusals.inc({'kind': response.error.value})

    def count_attempt(
        self, request: Request, route: Route, attempt: Attempt
    ) -> None:
        """Count an attempt; an observer of attempts.

        Args:
            request: The request.
            route: Its route.
            attempt: The attempt.
        """
        entry = attempt.offer.sighting.server.entry
        labels = {'service': entry.service}
        self.work.observe(labels, attempt.took)
        self.attempts.inc({**labels, 'end': attempt.describe()})

    def count_question(self, sighting: Sighting) -> None:
        """Count a question for a server's load.

        Args:
            sighting: What it brought.
        """
        end = 'silent' if sighting.report is None else 'answered'
        self.questions.inc({'end': end})

    def count_store_call(self, call: str) -> None:
        """Count a call to the platform's store.

        Args:
            call: Its name.
        """
        self.store_calls.inc({'call': call})


def read_peak_memory() -> float:
    """Read the most memory that this process had, in bytes."""
    return KB * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def read_processor_seconds() -> float:
    """Read the processor time of this process, in seconds."""
    return time.process_time()


def _label_route(route: Route | None) -> dict[str, str]:
    if route is None:
        return {'rank': NO_ROUTE, 'kind': NO_ROUTE}
    return {'rank': str(route.rank), 'kind': route.kind.value}
