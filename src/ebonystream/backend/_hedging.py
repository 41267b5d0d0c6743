"""Hedging: a second attempt of a late idempotent call, at another server."""

import math
from collections.abc import Callable

import attrs
import trio

from ebonystream._ids import Seconds, ServerId
from ebonystream.backend._attempts import RunExcluding
from ebonystream.call import Call, CallKind, CallResponse, RunCall
from ebonystream.errors import Outcome
from ebonystream.hedging import HedgeFigures, find_refusal

GetHedgeDelay = Callable[[Call], Seconds | None]
"""Returns the delay after which a call is hedged, in seconds; None if it is
not hedged."""


MakeFigures = Callable[[Call], HedgeFigures]
"""Returns what a late call that has been sent to a server is judged by."""


def make_basic_figures(call: Call) -> HedgeFigures:
    """Return figures by which only the state of the call itself decides.

    Args:
        call: The late call.
    """
    return HedgeFigures(
        repeatable=call.kind is CallKind.IDEMPOTENT,
        attempts_left=1,
        expected=Seconds(0),
        time_left=Seconds(math.inf),
        is_short=False,
        within_limit=True,
    )


@attrs.define
class _Race:
    """Concurrent attempts of one call; the first one that ran wins.

    Attributes:
        running: Number of attempts that are running.
        response: The best response so far.
    """

    running: int = 0
    response: CallResponse | None = None

    def record_end(self, response: CallResponse) -> bool:
        """Record the end of an attempt and return whether the race is over.

        Without an attempt that ran, the outcome "unknown" takes precedence
        over "not run".

        Args:
            response: The response of the attempt.
        """
        self.running -= 1
        if self.response is None or response.outcome is not Outcome.NOT_RUN:
            self.response = response
        return response.outcome is Outcome.RAN or not self.running


def make_hedged_run(
    *,
    run: RunExcluding,
    get_hedge_delay: GetHedgeDelay,
    try_acquire_hedge: Callable[[], bool],
    record_first_attempt: Callable[[], None],
    make_figures: MakeFigures = make_basic_figures,
) -> RunCall:
    """Make the function that runs idempotent calls and hedges late ones.

    The attempt that loses is cancelled, which also cancels it at its server.

    Args:
        run: Runs a call on servers that have not been tried.
        get_hedge_delay: Returns the delay after which a call is hedged.
        try_acquire_hedge: Takes one hedge from the budget and returns whether
            it was granted.
        record_first_attempt: Records a first attempt in the budgets.
        make_figures: Returns what a late call is judged by.
    """

    async def run_hedged(call: Call) -> CallResponse:
        assert call.kind is CallKind.IDEMPOTENT, (
            'only idempotent calls may be hedged'
        )
        record_first_attempt()
        tried: set[ServerId] = set()
        delay = get_hedge_delay(call)
        if delay is None:
            return await run(call, tried)
        race = _Race()
        async with trio.open_nursery() as nursery:
            start = _make_start(race, nursery, call, run=run, tried=tried)
            start()
            await trio.sleep(delay)
            figures = attrs.evolve(make_figures(call), sent=bool(tried))
            refusal = find_refusal(figures)
            if race.running and refusal is None and try_acquire_hedge():
                start()
        assert race.response is not None, 'a race ended without an answer'
        return race.response

    return run_hedged


def _make_start(
    race: _Race,
    nursery: trio.Nursery,
    call: Call,
    *,
    run: RunExcluding,
    tried: set[ServerId],
) -> Callable[[], None]:
    async def attempt() -> None:
        response = await run(call, tried)
        if race.record_end(response):
            nursery.cancel_scope.cancel()

    def start() -> None:
        race.running += 1
        nursery.start_soon(attempt)

    return start
