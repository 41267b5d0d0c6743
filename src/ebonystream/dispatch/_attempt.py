"""One attempt of a request at one backend server."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.link import Exchange, Refused
from ebonystream.placement import Offer
from ebonystream.request import Dialect, Request, ServerAnswer, Verdict

OVERDUE_TIMES = 3
"""How many times as long as expected an overdue attempt takes."""

MIN_EXPECTED = Seconds(0.05)
MIN_TIME_LEFT = Seconds(0.001)


@attrs.frozen(kw_only=True)
class Attempt:
    """How one attempt ended.

    Attributes:
        offer: The server that it was sent to, and what that had said.
        answer: The server's answer; None where there is none.
        refused: Why there is none; None where the wait for it was given up.
        took: From the send to its end, in seconds.
    """

    offer: Offer
    answer: ServerAnswer | None
    refused: Refused | None
    took: Seconds

    def is_served(self) -> bool:
        """Tell whether the server's whole answer is there."""
        answer = self.answer
        return answer is not None and answer.verdict is Verdict.SERVED

    def is_not_run(self) -> bool:
        """Tell whether it is certain that the request didn't run there."""
        if self.answer is None:
            return self.refused is Refused.UNREACHABLE
        return self.answer.verdict in {Verdict.NOT_RUN, Verdict.MISDIRECTED}

    def describe(self) -> str:
        """Describe the end, for the log."""
        if self.answer is not None:
            return f'{self.answer.verdict.value} {self.answer.status}'
        return self.refused.value if self.refused else 'abandoned'

    def is_overdue(self) -> bool:
        """Tell whether it took much longer than the server let expect."""
        usual = max(self.offer.expected, MIN_EXPECTED)
        return self.took > OVERDUE_TIMES * usual


Send = Callable[[Request, Offer, Monotonic], Awaitable[Attempt]]
"""Makes one attempt; its answer is waited for until a time.

A cancel closes the connection, which ends the work at the server.
"""


def make_send(*, exchange: Exchange, dialect: Dialect, timers: Timers) -> Send:
    """Make the function that makes one attempt.

    Args:
        exchange: Exchanges on kept connections.
        dialect: Spells the request and reads the answer.
        timers: Tells the time.
    """

    async def send(request: Request, offer: Offer, until: Monotonic) -> Attempt:
        server = offer.sighting.server
        began = timers.now()
        left = Seconds(max(MIN_TIME_LEFT, until - began))
        spelled = dialect.spell_request(request, server.entry, left)
        server.in_flight += 1
        server.last_sent = began
        try:
            reply = await exchange(
                server.entry.at, spelled, dialect.make_is_own(request)
            )
        finally:
            server.in_flight -= 1
        took = Seconds(timers.now() - began)
        if isinstance(reply, Refused):
            return Attempt(offer=offer, answer=None, refused=reply, took=took)
        answer = dialect.read_answer(reply)
        return Attempt(offer=offer, answer=answer, refused=None, took=took)

    return send
