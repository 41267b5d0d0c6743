"""Handling of a request: routing, attempts at servers, and retries."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from ebonystream._ids import Seconds
from ebonystream.dispatch._answering import answer_last, give_up, refuse_full
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, Progress, find_end
from ebonystream.dispatch._sending import attempt_at
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress import Presence
from ebonystream.placement import Candidate, NoCapacity
from ebonystream.request import Request, Response, refuse_request
from ebonystream.route import (
    Route,
    RouteConfiguration,
    match_route,
    select_service,
)

NO_CONFIGURATION_RETRY = Seconds(0.3)

Serve = Callable[[Request, Presence], Awaitable[Response]]
"""Handles one request of a caller that may disconnect."""

GetConfiguration = Callable[[], RouteConfiguration | None]


def make_serve(
    dispatcher: Dispatcher,
    *,
    get_configuration: GetConfiguration,
    random: Random,
) -> Serve:
    """Return a function that handles requests.

    Args:
        dispatcher: The dependencies of dispatch.
        get_configuration: Returns the current configuration; None before the
            first one has been received.
        random: Random numbers for the choice of services and versions.
    """

    async def serve(request: Request, presence: Presence) -> Response:
        configuration = get_configuration()
        route: Route | None = None
        if configuration is None:
            response = _refuse_not_configured()
        else:
            route = match_route(
                configuration, host=request.host, path=request.path
            )
            response = await serve_route(request, route, presence)
        dispatcher.observe_response(request, route, response)
        return response

    async def serve_route(
        request: Request, route: Route | None, presence: Presence
    ) -> Response:
        if route is None:
            return refuse_request(EbonystreamError(ErrorKind.UNKNOWN_ROUTE))
        progress = Progress(
            request=request,
            route=route,
            service=select_service(route, random),
            first=dispatcher.patience.find_first(request, route),
            until=find_end(request, route),
            draw=random.random(),
        )
        return await _run_with_timeout(dispatcher, progress, presence)

    return serve


def _refuse_not_configured() -> Response:
    return refuse_request(
        EbonystreamError(ErrorKind.NOT_CONFIGURED),
        retry_after=NO_CONFIGURATION_RETRY,
    )


async def _run_with_timeout(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    with trio.move_on_at(progress.until):
        return await _run_until_disconnect(dispatcher, progress, presence)
    return give_up(progress)


async def _run_until_disconnect(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    """Run the attempts.

    A request that may run more than once is cancelled when its caller
    disconnects.
    """
    if not progress.is_repeatable():
        return await _run_attempts(dispatcher, progress, presence)
    with presence.interruptible():
        return await _run_attempts(dispatcher, progress, presence)
    return give_up(progress)


async def _run_attempts(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    while True:
        result = await _select_server(dispatcher, progress, presence)
        now = dispatcher.timers.now()
        if isinstance(result, NoCapacity):
            dispatcher.note_full(progress.request, progress.route, result)
            return refuse_full(progress, result, now)
        if not _acquire_attempt(dispatcher, progress):
            return answer_last(progress, now)
        attempt = await attempt_at(dispatcher, progress, result)
        answer = attempt.answer
        if answer is not None and attempt.is_served():
            return Response(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        if not _should_retry(dispatcher, progress, attempt):
            return answer_last(progress, dispatcher.timers.now())


async def _select_server(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Candidate | NoCapacity:
    with presence.interruptible():
        return await dispatcher.find_room(progress.want())
    return NoCapacity(
        retry_after=Seconds(0), probe_count=0, reason='caller_left'
    )


def _acquire_attempt(dispatcher: Dispatcher, progress: Progress) -> bool:
    """Record a first attempt, or take a retry from the budget."""
    now = dispatcher.timers.now()
    if progress.sends:
        return dispatcher.budget.take(progress.service, now)
    dispatcher.budget.count_first(progress.service, now)
    return True


def _should_retry(
    dispatcher: Dispatcher, progress: Progress, attempt: Attempt
) -> bool:
    if progress.sends >= progress.route.attempts:
        return False
    if dispatcher.timers.now() >= progress.until:
        return False
    return progress.is_repeatable() or attempt.is_not_run()
