"""Searches for a server, and what limits the attempts that follow."""

import attrs
import trio

from ebonystream._ids import Seconds
from ebonystream.dispatch import HedgeRules, RetryBudget
from ebonystream.placement import (
    Candidate,
    ColdShares,
    FindServer,
    NoCapacity,
    PlacementRequest,
)


@attrs.define
class ActiveSearches:
    """Searches for a server for the requests of this host.

    Attributes:
        stopped: Whether no request is sent to a server any more.
        scopes: Cancel scopes of the searches.
    """

    stopped: bool = False
    scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def stop(self) -> None:
        """End all searches without a server, now and from now on."""
        self.stopped = True
        for scope in list(self.scopes):
            scope.cancel()


@attrs.frozen(kw_only=True)
class DispatchState:
    """What limits the attempts of this host.

    Attributes:
        retry_budget: Limits retries.
        cold_shares: This host's shares of cold servers.
        hedging: Rules of hedging; None where it is switched off.
    """

    retry_budget: RetryBudget
    cold_shares: ColdShares
    hedging: HedgeRules | None


def make_stoppable_search(
    find_server: FindServer, searches: ActiveSearches
) -> FindServer:
    """Return a search that finds no server once searches are stopped.

    Args:
        find_server: Selects a server.
        searches: The searches that may be stopped.
    """

    async def find_until_stopped(
        request: PlacementRequest,
    ) -> Candidate | NoCapacity:
        with trio.CancelScope() as scope:
            if searches.stopped:
                scope.cancel()
            searches.scopes.add(scope)
            try:
                return await find_server(request)
            finally:
                searches.scopes.discard(scope)
        return NoCapacity(
            retry_after=Seconds(0), probe_count=0, reason='host_leaves'
        )

    return find_until_stopped
