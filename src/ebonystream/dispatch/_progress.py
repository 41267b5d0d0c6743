"""State of a request in dispatch, and the dependencies of dispatch."""

from collections.abc import Callable

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.dispatch._attempt import Attempt, SendAttempt
from ebonystream.dispatch._budget import RetryBudget
from ebonystream.dispatch._first_request import FirstRequestEstimator
from ebonystream.dispatch._hedge_rules import HedgeRules
from ebonystream.errors import ErrorKind
from ebonystream.placement import FindServer, NoCapacity, PlacementRequest
from ebonystream.request import Request, Response
from ebonystream.route import Route

RETRY_DRAW = 1.0
"""Draw of a retry: it goes to the version that served before a rollout, if
there is one."""

ObserveAttempt = Callable[[Request, Route, Attempt], None]
"""Called with each attempt that has ended."""


ObserveNoCapacity = Callable[[Request, Route, NoCapacity], None]
"""Called with each request for which no server had capacity."""


ObserveResponse = Callable[[Request, Route | None, Response], None]
"""Called with each response, and with the route if one matched the request."""


@attrs.frozen
class SendRefusal:
    """Why a request must not be sent to a server any more.

    Attributes:
        error: Error that the caller gets if the request has not run.
        retry_after: Delay before a retry, in seconds; None if none is advised.
    """

    error: ErrorKind
    retry_after: Seconds | None


CheckSend = Callable[[Request], SendRefusal | None]
"""Called directly before each send of a request; None permits it."""


def _permit_send(request: Request) -> None:
    """Permit each send."""


@attrs.frozen(kw_only=True)
class Dispatcher:
    """The dependencies of dispatch.

    Attributes:
        find_server: Selects a server that has capacity.
        send_attempt: Makes one attempt.
        retry_budget: Limits retries.
        attempt_observers: Called with each attempt that has ended.
        observe_no_capacity: Called with each request for which no server
            had capacity.
        observe_response: Called with each response.
        estimator: Estimates when a caller made its first request.
        timers: Source of the current time.
        check_send: Called directly before each send.
        hedging: State and callbacks of hedging; None where it is off.
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
    check_send: CheckSend = _permit_send
    hedging: HedgeRules | None = None


@attrs.define(kw_only=True)
class RequestProgress:
    """The state of one request in dispatch.

    Attributes:
        request: The request.
        route: The route that it matched.
        service: Service that is to handle it.
        first_requested_at: When its caller made its first request, by estimate.
        deadline: When the request expires.
        version_draw: Random number from 0 to 1 that selects the version of the
            service.
        attempt_count: Number of attempts that reached a server, or may have.
        may_have_run: Whether a server may have run the request.
        excluded_servers: Servers that are not to be tried again.
        last_attempt: The last attempt that has ended.
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
        """Return the request to placement to select a server."""
        return PlacementRequest(
            route=self.route,
            service=self.service,
            first_requested_at=self.first_requested_at,
            arrived_at=self.request.arrived_at,
            deadline=self.deadline,
            version_draw=self.version_draw,
            excluded_servers=self.excluded_servers,
            workspace=self.request.workspace,
            workspace_rank=self.request.rank,
        )

    def is_retryable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.kind is CallKind.IDEMPOTENT

    def record_start(self, server: ServerId) -> None:
        """Record the start of an attempt.

        Args:
            server: Server that the request is sent to.
        """
        self.attempt_count += 1
        self.excluded_servers |= {server}
        self.version_draw = RETRY_DRAW

    def record_result(self, attempt: Attempt) -> None:
        """Record the result of an attempt.

        Args:
            attempt: Attempt that has ended.
        """
        self.last_attempt = attempt
        if not attempt.is_not_run():
            self.may_have_run = True
        elif attempt.response is None:
            # Nothing was sent, so the attempt does not count.
            self.attempt_count -= 1


def get_deadline(request: Request, route: Route) -> Monotonic:
    """Return when a request expires.

    This is the timeout of its route or the caller's deadline, whichever comes
    first.

    Args:
        request: The request.
        route: The route that it matched.
    """
    expires_at = Monotonic(request.arrived_at + route.timeout)
    if request.deadline is None:
        return expires_at
    return min(expires_at, request.deadline)
