"""A single attempt to send a request to one backend server."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.link import Exchange, Refused
from ebonystream.placement import Candidate
from ebonystream.request import Dialect, Request, ServerAnswer, Verdict

OVERDUE_TIMES = 3
"""An attempt is overdue above this multiple of its expected duration."""

MIN_EXPECTED = Seconds(0.05)
MIN_TIME_LEFT = Seconds(0.001)


@attrs.frozen(kw_only=True)
class Attempt:
    """The result of one attempt.

    Attributes:
        offer: Server that it was sent to, with the load that it had reported.
        answer: The server's response; None if there is none.
        refused: Why there is no response; None if the attempt was
            abandoned.
        took: Time from sending the request to the end of the attempt, in
            seconds.
    """

    offer: Candidate
    answer: ServerAnswer | None
    refused: Refused | None
    took: Seconds

    def is_served(self) -> bool:
        """Return whether the server sent a complete, successful response."""
        answer = self.answer
        return answer is not None and answer.verdict is Verdict.SERVED

    def is_not_run(self) -> bool:
        """Return whether the server certainly did not run the request."""
        if self.answer is None:
            return self.refused is Refused.UNREACHABLE
        return self.answer.verdict in {Verdict.NOT_RUN, Verdict.MISDIRECTED}

    def describe(self) -> str:
        """Describe the result for the log."""
        if self.answer is not None:
            return f'{self.answer.verdict.value} {self.answer.status}'
        return self.refused.value if self.refused else 'abandoned'

    def is_overdue(self) -> bool:
        """Return whether it took much longer than the server led to expect."""
        expected = max(self.offer.expected_latency, MIN_EXPECTED)
        return self.took > OVERDUE_TIMES * expected


Send = Callable[[Request, Candidate, Monotonic], Awaitable[Attempt]]
"""Sends a request to a server and waits for the response until a time.

Cancelling it closes the connection, which stops the work at the server.
"""


def make_send(*, exchange: Exchange, dialect: Dialect, timers: Timers) -> Send:
    """Return a function that makes one attempt.

    Args:
        exchange: Sends a request on a pooled connection and returns the reply.
        dialect: Encodes the request and parses the response.
        timers: Source of the current time.
    """

    async def send(
        request: Request, offer: Candidate, until: Monotonic
    ) -> Attempt:
        server = offer.probe_result.server
        started = timers.now()
        remaining = Seconds(max(MIN_TIME_LEFT, until - started))
        encoded = dialect.spell_request(request, server.entry, remaining)
        server.in_flight += 1
        server.last_sent = started
        try:
            reply = await exchange(
                server.entry.at, encoded, dialect.make_is_own(request)
            )
        finally:
            server.in_flight -= 1
        took = Seconds(timers.now() - started)
        if isinstance(reply, Refused):
            return Attempt(offer=offer, answer=None, refused=reply, took=took)
        answer = dialect.read_answer(reply)
        return Attempt(offer=offer, answer=answer, refused=None, took=took)

    return send
