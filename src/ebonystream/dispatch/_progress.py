"""How far one request has come."""

from collections.abc import Callable

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.dispatch._attempt import Attempt, SendAttempt
from ebonystream.dispatch._budget import RetryBudget
from ebonystream.dispatch._first_request import FirstRequestEstimator
from ebonystream.placement import FindServer, NoCapacity, PlacementRequest
from ebonystream.request import Request, Response
from ebonystream.route import Route

RETRY_DRAW = 1.0
"""A second attempt goes to the version that served before, if there is one."""

ObserveAttempt = Callable[[Request, Route, Attempt], None]
"""Is told of each attempt that ended."""


ObserveNoCapacity = Callable[[Request, Route, NoCapacity], None]
"""Is told of a request for which no server had room."""


ObserveResponse = Callable[[Request, Route | None, Response], None]
"""Is told of each answer, and of the route if the request has one."""


@attrs.frozen(kw_only=True)
class Dispatcher:
    """What dispatch takes.

    Attributes:
        find_server: Finds a server with room.
        send_attempt: Makes one attempt.
        retry_budget: Bounds second attempts.
        attempt_observers: Are told of each attempt.
        observe_no_capacity: Is told of each request that found no room.
        observe_response: Is told of each answer.
        estimator: Tells when a caller asked first.
        timers: Tells the time.
    """

    find_server: FindServer
    send_attempt: SendAttempt
    retry_budget: RetryBudget
    attempt_observers: tuple[ObserveAttempt, ...]
    observe_no_capacity: ObserveNoCapacity
    observe_response: ObserveResponse
    estimator: FirstRequestEstimator = attrs.field(
        factory=FirstRequestEstimator
    )
    timers: Timers


@attrs.define(kw_only=True)
class RequestProgress:
    """One request on its way.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that answers it.
        first_requested_at: When its caller asked first.
        deadline: When its answer is of no use any more.
        version_draw: Its draw between the versions of the service, from 0 to 1.
        attempt_count: Attempts that reached a server, or may have.
        may_have_run: Whether an attempt may have run.
        excluded_servers: Servers that are not tried again.
        last_attempt: The last attempt that ended.
    """

    request: Request
    route: Route
    service: ServiceName
    first_requested_at: Monotonic
    deadline: Monotonic
    version_draw: float
    attempt_count: int = 0
    may_have_run: bool = False
    excluded_servers: frozenset[ServerId] = frozenset()
    last_attempt: Attempt | None = None

    def make_placement_request(self) -> PlacementRequest:
        """Say what the request needs now."""
        return PlacementRequest(
            route=self.route,
            service=self.service,
            first_requested_at=self.first_requested_at,
            arrived_at=self.request.arrived_at,
            deadline=self.deadline,
            version_draw=self.version_draw,
            excluded_servers=self.excluded_servers,
        )

    def is_retryable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.kind is CallKind.IDEMPOTENT

    def record_start(self, server: ServerId) -> None:
        """Note that an attempt begins.

        Args:
            server: Where.
        """
        self.attempt_count += 1
        self.excluded_servers |= {server}
        self.version_draw = RETRY_DRAW

    def record_result(self, attempt: Attempt) -> None:
        """Note how an attempt ended.

        Args:
            attempt: The attempt.
        """
        self.last_attempt = attempt
        if not attempt.is_not_run():
            self.may_have_run = True
        elif attempt.response is None:
            # Nothing was sent, so this server doesn't count as tried.
            self.attempt_count -= 1


def get_deadline(request: Request, route: Route) -> Monotonic:
    """Find when a request's answer is of no use any more.

    Args:
        request: The request.
        route: Its route.
    """
    end = Monotonic(request.arrived_at + route.timeout)
    if request.deadline is None:
        return end
    return min(end, request.deadline)
