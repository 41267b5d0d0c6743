"""One attempt of a request at one backend server."""

from collections.abc import Awaitable, Callable

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
"""How many times as long as expected an overdue attempt takes."""

MIN_EXPECTED_DURATION = Seconds(0.05)
MIN_REMAINING_TIME = Seconds(0.001)


@attrs.frozen(kw_only=True)
class Attempt:
    """How one attempt ended.

    Attributes:
        offer: The server that it was sent to, and what that had said.
        response: The server's answer; None where there is none.
        failure: Why there is none; None where the wait for it was given up.
        duration: From the send to its end, in seconds.
    """

    offer: Candidate
    response: ServerResponse | None
    failure: ExchangeFailure | None
    duration: Seconds

    def is_served(self) -> bool:
        """Tell whether the server's whole answer is there."""
        answer = self.response
        return answer is not None and answer.verdict is ResponseVerdict.SERVED

    def is_not_run(self) -> bool:
        """Tell whether it is certain that the request didn't run there."""
        if self.response is None:
            return self.failure is ExchangeFailure.UNREACHABLE
        return self.response.verdict in {
            ResponseVerdict.NOT_RUN,
            ResponseVerdict.MISDIRECTED,
        }

    def describe(self) -> str:
        """Describe the end, for the log."""
        if self.response is not None:
            return f'{self.response.verdict.value} {self.response.status}'
        return self.failure.value if self.failure else 'abandoned'

    def is_overdue(self) -> bool:
        """Tell whether it took much longer than the server let expect."""
        usual = max(self.offer.expected_latency, MIN_EXPECTED_DURATION)
        return self.duration > OVERDUE_FACTOR * usual


SendAttempt = Callable[[Request, Candidate, Monotonic], Awaitable[Attempt]]
"""Makes one attempt; its answer is waited for until a time.

A cancel closes the connection, which ends the work at the server.
"""


def make_send_attempt(
    *, exchange: Exchange, codec: MessageCodec, timers: Timers
) -> SendAttempt:
    """Make the function that makes one attempt.

    Args:
        exchange: Exchanges on kept connections.
        codec: Spells the request and reads the answer.
        timers: Tells the time.
    """

    async def send(
        request: Request, offer: Candidate, until: Monotonic
    ) -> Attempt:
        server = offer.probe_result.server
        began = timers.now()
        left = Seconds(max(MIN_REMAINING_TIME, until - began))
        spelled = codec.encode_request(request, server.entry, left)
        server.in_flight += 1
        server.last_request_at = began
        try:
            reply = await exchange(
                server.entry.at, spelled, codec.make_response_matcher(request)
            )
        finally:
            server.in_flight -= 1
        took = Seconds(timers.now() - began)
        if isinstance(reply, ExchangeFailure):
            return Attempt(
                offer=offer, response=None, failure=reply, duration=took
            )
        answer = codec.decode_response(reply)
        return Attempt(
            offer=offer, response=answer, failure=None, duration=took
        )

    return send
