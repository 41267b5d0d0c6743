"""Handling of a request: routing, attempts at servers, and retries."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._error_responses import (
    respond_expired,
    respond_no_capacity,
    respond_not_sent,
    respond_with_last_attempt,
)
from ebonystream.dispatch._hedging import run_hedged_attempt
from ebonystream.dispatch._progress import (
    Dispatcher,
    RequestProgress,
    get_deadline,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress import CallerPresence
from ebonystream.placement import Candidate, NoCapacity
from ebonystream.request import Request, Response, make_error_response
from ebonystream.route import (
    Route,
    RouteConfiguration,
    match_route,
    select_service,
)

NOT_CONFIGURED_RETRY_AFTER = Seconds(0.3)

HandleRequest = Callable[[Request, CallerPresence], Awaitable[Response]]
"""Handles one request of a caller that may disconnect."""

GetConfiguration = Callable[[], RouteConfiguration | None]


def make_handle_request(
    dispatcher: Dispatcher,
    *,
    get_configuration: GetConfiguration,
    random: Random,
) -> HandleRequest:
    """Return a function that handles requests.

    Args:
        dispatcher: The dependencies of dispatch.
        get_configuration: Returns the current configuration; None before the
            first one has been received.
        random: Random numbers for the choice of services and versions.
    """

    async def handle(request: Request, presence: CallerPresence) -> Response:
        configuration = get_configuration()
        route: Route | None = None
        if configuration is None:
            response = _refuse_not_configured()
        else:
            route = match_route(
                configuration, host=request.host, path=request.path
            )
            response = await handle_routed(request, route, presence)
        dispatcher.observe_response(request, route, response)
        return response

    async def handle_routed(
        request: Request, route: Route | None, presence: CallerPresence
    ) -> Response:
        if route is None:
            return make_error_response(
                EbonystreamError(ErrorKind.UNKNOWN_ROUTE)
            )
        progress = RequestProgress(
            request=request,
            route=route,
            service=select_service(route, random),
            first_requested_at=dispatcher.estimator.estimate_first_request(
                request, route
            ),
            deadline=get_deadline(request, route),
            version_draw=random.random(),
        )
        return await _run_with_timeout(dispatcher, progress, presence)

    return handle


def _refuse_not_configured() -> Response:
    return make_error_response(
        EbonystreamError(ErrorKind.NOT_CONFIGURED),
        retry_after=NOT_CONFIGURED_RETRY_AFTER,
    )


async def _run_with_timeout(
    dispatcher: Dispatcher, progress: RequestProgress, presence: CallerPresence
) -> Response:
    with trio.move_on_at(progress.deadline):
        return await _run_until_disconnect(dispatcher, progress, presence)
    return respond_expired(progress)


async def _run_until_disconnect(
    dispatcher: Dispatcher, progress: RequestProgress, presence: CallerPresence
) -> Response:
    """Run the attempts.

    A request that may run more than once is cancelled when its caller
    disconnects.
    """
    if not progress.is_retryable():
        return await _run_attempts(dispatcher, progress, presence)
    with presence.cancel_on_disconnect():
        return await _run_attempts(dispatcher, progress, presence)
    return respond_expired(progress)


async def _run_attempts(
    dispatcher: Dispatcher, progress: RequestProgress, presence: CallerPresence
) -> Response:
    while True:
        result = await _select_server(dispatcher, progress, presence)
        now = dispatcher.timers.now()
        if isinstance(result, NoCapacity):
            dispatcher.observe_no_capacity(
                progress.request, progress.route, result
            )
            return respond_no_capacity(progress, result, now)
        refusal = dispatcher.check_send(progress.request)
        if refusal is not None:
            return respond_not_sent(progress, refusal, now)
        if not _acquire_attempt(dispatcher, progress):
            return respond_with_last_attempt(progress, now)
        attempt = await run_hedged_attempt(dispatcher, progress, result)
        response = attempt.response
        if response is not None and attempt.is_served():
            return Response(
                status=response.status,
                headers=response.headers,
                body=response.body,
            )
        if not _should_retry(dispatcher, progress, attempt):
            return respond_with_last_attempt(progress, dispatcher.timers.now())


async def _select_server(
    dispatcher: Dispatcher, progress: RequestProgress, presence: CallerPresence
) -> Candidate | NoCapacity:
    with presence.cancel_on_disconnect():
        return await dispatcher.find_server(progress.make_placement_request())
    return NoCapacity(
        retry_after=Seconds(0), probe_count=0, reason='caller_left'
    )


def _acquire_attempt(dispatcher: Dispatcher, progress: RequestProgress) -> bool:
    """Record a first attempt, or take a retry from the budget.

    An attempt after those that were not sent is neither of the two.
    """
    now = dispatcher.timers.now()
    if progress.attempt_count:
        return dispatcher.retry_budget.try_acquire_retry(progress.service, now)
    if progress.last_attempt is None:
        dispatcher.retry_budget.record_first_attempt(progress.service, now)
    return True


def _should_retry(
    dispatcher: Dispatcher, progress: RequestProgress, attempt: Attempt
) -> bool:
    if progress.attempt_count >= progress.route.attempts:
        return False
    if dispatcher.timers.now() >= progress.deadline:
        return False
    return progress.is_retryable() or attempt.is_not_run()
