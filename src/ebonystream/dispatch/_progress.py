"""State of a request in dispatch, and the dependencies of dispatch."""

from collections.abc import Callable

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.dispatch._attempt import Attempt, Send
from ebonystream.dispatch._budget import RepeatBudget
from ebonystream.dispatch._patience import Patience
from ebonystream.placement import FindServer, NoCapacity, PlacementRequest
from ebonystream.request import Request, Response
from ebonystream.route import Route

FALLBACK_DRAW = 1.0
"""Draw of a retry: it goes to the version that served before a rollout, if
there is one."""

Observe = Callable[[Request, Route, Attempt], None]
"""Called with each attempt that has ended."""


NoteFull = Callable[[Request, Route, NoCapacity], None]
"""Called with each request for which no server had capacity."""


ObserveResponse = Callable[[Request, Route | None, Response], None]
"""Called with each response, and with the route if one matched the request."""


@attrs.frozen(kw_only=True)
class Dispatcher:
    """The dependencies of dispatch.

    Attributes:
        find_room: Selects a server that has capacity.
        send: Makes one attempt.
        budget: Limits retries.
        observers: Called with each attempt that has ended.
        note_full: Called with each request for which no server had capacity.
        observe_response: Called with each response.
        patience: Estimates when a caller made its first request.
        timers: Source of the current time.
    """

    find_room: FindServer
    send: Send
    budget: RepeatBudget
    observers: tuple[Observe, ...]
    note_full: NoteFull
    observe_response: ObserveResponse
    patience: Patience = attrs.field(factory=Patience)
    timers: Timers


@attrs.define(kw_only=True)
class Progress:
    """The state of one request in dispatch.

    Attributes:
        request: The request.
        route: The route that it matched.
        service: Service that is to handle it.
        first: When its caller made its first request, by estimate.
        until: When the request expires.
        draw: Random number from 0 to 1 that selects the version of the
            service.
        sends: Number of attempts that reached a server, or may have.
        may_have_run: Whether a server may have run the request.
        without: Servers that are not to be tried again.
        last: The last attempt that has ended.
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

    def want(self) -> PlacementRequest:
        """Return what placement needs to know to select a server."""
        return PlacementRequest(
            route=self.route,
            service=self.service,
            first_requested_at=self.first,
            arrived_at=self.request.arrived,
            deadline=self.until,
            version_draw=self.draw,
            excluded_servers=self.without,
        )

    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is CallKind.IDEMPOTENT

    def begin(self, server: ServerId) -> None:
        """Record the start of an attempt.

        Args:
            server: Server that the request is sent to.
        """
        self.sends += 1
        self.without |= {server}
        self.draw = FALLBACK_DRAW

    def end(self, attempt: Attempt) -> None:
        """Record the result of an attempt.

        Args:
            attempt: Attempt that has ended.
        """
        self.last = attempt
        if not attempt.is_not_run():
            self.may_have_run = True
        elif attempt.answer is None:
            # Nothing was sent, so the attempt does not count.
            self.sends -= 1


def find_end(request: Request, route: Route) -> Monotonic:
    """Return when a request expires.

    This is the timeout of its route or the caller's deadline, whichever comes
    first.

    Args:
        request: The request.
        route: The route that it matched.
    """
    expires = Monotonic(request.arrived + route.timeout)
    if request.deadline is None:
        return expires
    return min(expires, request.deadline)
