"""The race of a late first attempt and its hedge."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._hedge_rules import (
    HedgeDecision,
    HedgeEnd,
    HedgeRules,
)
from ebonystream.dispatch._progress import Dispatcher, RequestProgress
from ebonystream.hedging import HedgeRefusal, LatenessEstimate
from ebonystream.placement import Candidate


@attrs.define(kw_only=True)
class Race:
    """A first attempt and its hedge.

    Attributes:
        dispatcher: The dependencies of dispatch.
        rules: State and callbacks of hedging.
        progress: State of the request.
        candidate: Server of the first attempt.
        estimate: From when on the first attempt is late.
        started_at: When the first attempt was sent.
        first_running: Whether the first attempt is running.
        hedge_running: Whether the hedge is running.
        winner: The attempt that was served first; None if there is none.
        last: The attempt that ended last; None before any has.
        hedge: The result of the hedge; None before it has one.
    """

    dispatcher: Dispatcher
    rules: HedgeRules
    progress: RequestProgress
    candidate: Candidate
    estimate: LatenessEstimate
    started_at: Monotonic
    first_running: bool = True
    hedge_running: bool = False
    winner: Attempt | None = None
    last: Attempt | None = None
    hedge: Attempt | None = None

    def is_over(self) -> bool:
        """Return whether no further result is waited for."""
        if self.winner is not None:
            return True
        return not (self.first_running or self.hedge_running)

    def record_end(self, attempt: Attempt) -> None:
        """Record the result of an attempt.

        Args:
            attempt: The attempt that has ended.
        """
        self.last = attempt
        if self.winner is None and attempt.is_served():
            self.winner = attempt

    def decide(
        self,
        hedge: Candidate | None = None,
        refusal: HedgeRefusal | None = None,
    ) -> HedgeDecision:
        """Report and return the decision about the late attempt.

        Args:
            hedge: Server of the hedge; None if there is none.
            refusal: Why there is none.
        """
        decision = HedgeDecision(
            candidate=self.candidate,
            estimate=self.estimate,
            waited=Seconds(self.dispatcher.timers.now() - self.started_at),
            hedge=hedge,
            refusal=refusal,
        )
        self.rules.observe_decision(
            self.progress.request, self.progress.route, decision
        )
        return decision

    def report_end(self, decision: HedgeDecision) -> None:
        """Report how the hedge ended.

        Args:
            decision: The decision that it was sent by.
        """
        end = HedgeEnd.CANCELLED
        if self.winner is not None or self.hedge is not None:
            has_won = self.winner is not None and self.winner is self.hedge
            end = HedgeEnd.WON if has_won else HedgeEnd.LOST
        self.rules.observe_end(
            self.progress.request, self.progress.route, decision, end
        )
