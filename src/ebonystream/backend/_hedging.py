"""Hedging: a late idempotent call is sent a second time, elsewhere."""

from collections.abc import Callable

import attrs
import trio

from ebonystream._ids import Seconds, ServerId
from ebonystream.backend._attempts import RunApart
from ebonystream.call import Answer, Call, CallKind, Run
from ebonystream.errors import Outcome

GetDelay = Callable[[Call], Seconds | None]
"""Gives how long the first attempt may take; None where none is hedged."""


@attrs.define
class _Race:
    """The attempts of one call; the first that ran wins.

    Attributes:
        running: How many are under way.
        answer: The best answer so far.
    """

    running: int = 0
    answer: Answer | None = None

    def take(self, answer: Answer) -> bool:
        """Take the end of an attempt; True where it ends the race.

        Where no attempt ran for certain, "unknown" goes before "not run".
        """
        self.running -= 1
        if self.answer is None or answer.outcome is not Outcome.NOT_RUN:
            self.answer = answer
        return answer.outcome is Outcome.RAN or not self.running


def make_hedged_run(
    *,
    run: RunApart,
    get_delay: GetDelay,
    spend_hedge: Callable[[], bool],
    earn: Callable[[], None],
) -> Run:
    """Make the function that runs idempotent calls, the late ones twice.

    The loser is cancelled, which cancels it at its server too.

    Args:
        run: Runs a call, on other servers than those tried.
        get_delay: Gives how long the first attempt may take.
        spend_hedge: Takes a second attempt out of the budget.
        earn: Counts a first attempt for the budgets.
    """

    async def run_hedged(call: Call) -> Answer:
        assert call.kind is CallKind.IDEMPOTENT, 'only such calls are hedged'
        earn()
        tried: set[ServerId] = set()
        delay = get_delay(call)
        if delay is None:
            return await run(call, tried)
        race = _Race()
        async with trio.open_nursery() as nursery:
            begin = _make_begin(race, nursery, call, run=run, tried=tried)
            begin()
            await trio.sleep(delay)
            # A call that still waits for its place gains nothing by a second.
            if tried and race.running and spend_hedge():
                begin()
        assert race.answer is not None, 'a race ended without an answer'
        return race.answer

    return run_hedged


def _make_begin(
    race: _Race,
    nursery: trio.Nursery,
    call: Call,
    *,
    run: RunApart,
    tried: set[ServerId],
) -> Callable[[], None]:
    async def attempt() -> None:
        answer = await run(call, tried)
        if race.take(answer):
            nursery.cancel_scope.cancel()

    def begin() -> None:
        race.running += 1
        nursery.start_soon(attempt)

    return begin
