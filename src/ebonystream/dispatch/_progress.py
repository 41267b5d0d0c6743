"""How far one request has come."""

from collections.abc import Callable

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.dispatch._attempt import Attempt, Send
from ebonystream.dispatch._budget import RepeatBudget
from ebonystream.dispatch._patience import Patience
from ebonystream.placement import FindRoom, NoRoom, Wanted
from ebonystream.request import Request, Response
from ebonystream.route import Route

FALLBACK_DRAW = 1.0
"""A second attempt goes to the version that served before, if there is one."""

Observe = Callable[[Request, Route, Attempt], None]
"""Is told of each attempt that ended."""


NoteFull = Callable[[Request, Route, NoRoom], None]
"""Is told of a request for which no server had room."""


ObserveResponse = Callable[[Request, Route | None, Response], None]
"""Is told of each answer, and of the route if the request has one."""


@attrs.frozen(kw_only=True)
class Dispatcher:
    """What dispatch takes.

    Attributes:
        find_room: Finds a server with room.
        send: Makes one attempt.
        budget: Bounds second attempts.
        observers: Are told of each attempt.
        note_full: Is told of each request that found no room.
        observe_response: Is told of each answer.
        patience: Tells when a caller asked first.
        timers: Tells the time.
    """

    find_room: FindRoom
    send: Send
    budget: RepeatBudget
    observers: tuple[Observe, ...]
    note_full: NoteFull
    observe_response: ObserveResponse
    patience: Patience = attrs.field(factory=Patience)
    timers: Timers


@attrs.define(kw_only=True)
class Progress:
    """One request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that answers it.
        first: When its caller asked first.
        until: When its answer is of no use any more.
        draw: Its draw between the versions of the service, from 0 to 1.
        sends: Attempts that reached a server, or may have.
        may_have_run: Whether an attempt may have run.
        without: Servers that are not tried again.
        last: The last attempt that ended.
    """

    request: Request
    route: Route
    service: ServiceName
    first: Monotonic
    until: Monotonic
    draw: float
    sends: int = 0
    may_have_run: bool = False
    without: frozenset[ServerId] = frozenset()
    last: Attempt | None = None

    def want(self) -> Wanted:
        """Say what the request needs now."""
        return Wanted(
            route=self.route,
            service=self.service,
            first=self.first,
            arrived=self.request.arrived,
            until=self.until,
            draw=self.draw,
            without=self.without,
        )

    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.kind is CallKind.IDEMPOTENT

    def begin(self, server: ServerId) -> None:
        """Note that an attempt begins.

        Args:
            server: Where.
        """
        self.sends += 1
        self.without |= {server}
        self.draw = FALLBACK_DRAW

    def end(self, attempt: Attempt) -> None:
        """Note how an attempt ended.

        Args:
            attempt: The attempt.
        """
        self.last = attempt
        if not attempt.is_not_run():
            self.may_have_run = True
        elif attempt.answer is None:
            # Nothing was sent, so this server doesn't count as tried.
            self.sends -= 1


def find_end(request: Request, route: Route) -> Monotonic:
    """Find when a request's answer is of no use any more.

    Args:
        request: The request.
        route: Its route.
    """
    end = Monotonic(request.arrived + route.timeout)
    if request.deadline is None:
        return end
    return min(end, request.deadline)
