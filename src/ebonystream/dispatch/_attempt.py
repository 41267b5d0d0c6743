"""A single attempt to send a request to one backend server."""

from collections.abc import Awaitable, Callable
from functools import partial

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.link import Exchange, ExchangeFailure
from ebonystream.placement import Candidate
from ebonystream.request import (
    MessageCodec,
    Request,
    ResponseVerdict,
    ServerResponse,
)

OVERDUE_FACTOR = 3
"""An attempt is overdue above this multiple of its expected duration."""

NOTHING_SENT = frozenset(
    (ExchangeFailure.UNREACHABLE, ExchangeFailure.WITHHELD)
)
"""Failures of an attempt whose request was not sent."""

MIN_EXPECTED_DURATION = Seconds(0.05)
MIN_REMAINING_TIME = Seconds(0.001)


@attrs.frozen(kw_only=True)
class Attempt:
    """The result of one attempt.

    Attributes:
        candidate: Server that it was sent to, with the load that the server
            had reported.
        response: The server's response; None if there is none.
        failure: Why there is no response; None if the attempt was
            abandoned.
        duration: Time from sending the request to the end of the attempt, in
            seconds.
    """

    candidate: Candidate
    response: ServerResponse | None
    failure: ExchangeFailure | None
    duration: Seconds

    def is_served(self) -> bool:
        """Return whether the server sent a complete, successful response."""
        response = self.response
        return (
            response is not None and response.verdict is ResponseVerdict.SERVED
        )

    def is_not_run(self) -> bool:
        """Return whether the server certainly did not run the request."""
        if self.response is None:
            return self.failure in NOTHING_SENT
        return self.response.verdict in {
            ResponseVerdict.NOT_RUN,
            ResponseVerdict.MISDIRECTED,
        }

    def describe(self) -> str:
        """Describe the result for the log."""
        if self.response is not None:
            return f'{self.response.verdict.value} {self.response.status}'
        return self.failure.value if self.failure else 'abandoned'

    def is_overdue(self) -> bool:
        """Return whether it took much longer than expected."""
        expected = max(self.candidate.expected_latency, MIN_EXPECTED_DURATION)
        return self.duration > OVERDUE_FACTOR * expected


SendAttempt = Callable[[Request, Candidate, Monotonic], Awaitable[Attempt]]
"""Sends a request to a server and waits for the response.

The deadline is encoded in the request; the caller enforces it by cancelling,
which closes the connection and so stops the work at the server.
"""


def make_send_attempt(
    *,
    exchange: Exchange,
    codec: MessageCodec,
    timers: Timers,
    may_send: Callable[[Request], bool],
) -> SendAttempt:
    """Return a function that makes one attempt.

    Args:
        exchange: Sends a request on a pooled connection and returns the
            result.
        codec: Encodes the request and parses the response.
        timers: Source of the current time.
        may_send: Returns whether a request may be sent now.
    """

    async def send(
        request: Request, candidate: Candidate, deadline: Monotonic
    ) -> Attempt:
        server = candidate.probe_result.server
        started_at = timers.now()
        remaining = Seconds(max(MIN_REMAINING_TIME, deadline - started_at))
        encoded = codec.encode_request(request, server.entry, remaining)
        server.in_flight += 1
        server.record_request(started_at)
        try:
            result = await exchange(
                server.entry.at,
                encoded,
                codec.make_response_matcher(request),
                partial(may_send, request),
            )
        finally:
            server.in_flight -= 1
        duration = Seconds(timers.now() - started_at)
        if isinstance(result, ExchangeFailure):
            return Attempt(
                candidate=candidate,
                response=None,
                failure=result,
                duration=duration,
            )
        response = codec.decode_response(result)
        return Attempt(
            candidate=candidate,
            response=response,
            failure=None,
            duration=duration,
        )

    return send
