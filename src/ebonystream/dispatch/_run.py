"""A request from its route to its answer."""

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
from ebonystream.placement import NoRoom, Offer
from ebonystream.request import Request, Response, refuse_request
from ebonystream.route import (
    Route,
    RouteConfiguration,
    match_route,
    pick_service,
)

NO_CONFIGURATION_RETRY = Seconds(0.3)

Serve = Callable[[Request, Presence], Awaitable[Response]]
"""Answers one request of a caller that may leave."""

GetConfiguration = Callable[[], RouteConfiguration | None]


def make_serve(
    dispatcher: Dispatcher,
    *,
    get_configuration: GetConfiguration,
    random: Random,
) -> Serve:
    """Make the function that answers requests.

    Args:
        dispatcher: What dispatch takes.
        get_configuration: Gives the configuration in force.
        random: Draws services and versions.
    """

    async def serve(request: Request, presence: Presence) -> Response:
        configuration = get_configuration()
        route: Route | None = None
        if configuration is None:
            response = _refuse_early()
        else:
            route = match_route(
                configuration, host=request.host, path=request.path
            )
            response = await serve_on(request, route, presence)
        dispatcher.observe_response(request, route, response)
        return response

    async def serve_on(
        request: Request, route: Route | None, presence: Presence
    ) -> Response:
        if route is None:
            return refuse_request(EbonystreamError(ErrorKind.UNKNOWN_ROUTE))
        progress = Progress(
            request=request,
            route=route,
            service=pick_service(route, random),
            first=dispatcher.patience.find_first(request, route),
            until=find_end(request, route),
            draw=random.random(),
        )
        return await _run_in_time(dispatcher, progress, presence)

    return serve


def _refuse_early() -> Response:
    return refuse_request(
        EbonystreamError(ErrorKind.NOT_CONFIGURED),
        retry_after=NO_CONFIGURATION_RETRY,
    )


async def _run_in_time(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    with trio.move_on_at(progress.until):
        return await _run_while_wanted(dispatcher, progress, presence)
    return give_up(progress)


async def _run_while_wanted(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    """Run; what may run more than once ends when its caller leaves."""
    if not progress.is_repeatable():
        return await _run(dispatcher, progress, presence)
    with presence.interruptible():
        return await _run(dispatcher, progress, presence)
    return give_up(progress)


async def _run(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Response:
    while True:
        found = await _find_room(dispatcher, progress, presence)
        now = dispatcher.timers.now()
        if isinstance(found, NoRoom):
            dispatcher.note_full(progress.request, progress.route, found)
            return refuse_full(progress, found, now)
        if not _may_send(dispatcher, progress):
            return answer_last(progress, now)
        attempt = await attempt_at(dispatcher, progress, found)
        answer = attempt.answer
        if answer is not None and attempt.is_served():
            return Response(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        if not _may_try_again(dispatcher, progress, attempt):
            return answer_last(progress, dispatcher.timers.now())


async def _find_room(
    dispatcher: Dispatcher, progress: Progress, presence: Presence
) -> Offer | NoRoom:
    with presence.interruptible():
        return await dispatcher.find_room(progress.want())
    return NoRoom(after=Seconds(0), asked=0, why='caller_left')


def _may_send(dispatcher: Dispatcher, progress: Progress) -> bool:
    """Count a first attempt, or take a second one from the budget."""
    now = dispatcher.timers.now()
    if progress.sends:
        return dispatcher.budget.take(progress.service, now)
    dispatcher.budget.count_first(progress.service, now)
    return True


def _may_try_again(
    dispatcher: Dispatcher, progress: Progress, attempt: Attempt
) -> bool:
    if progress.sends >= progress.route.attempts:
        return False
    if dispatcher.timers.now() >= progress.until:
        return False
    return progress.is_repeatable() or attempt.is_not_run()
