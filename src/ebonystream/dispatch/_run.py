"""A request from its route to its answer."""

from collections.abc import Awaitable, Callable
from random import Random

import attrs
import trio

from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.dispatch._attempt import Attempt, Send
from ebonystream.dispatch._budget import RepeatBudget
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress import Presence
from ebonystream.placement import FindRoom, NoRoom, Offer, Wanted
from ebonystream.request import Request, Response, Verdict, refuse_request
from ebonystream.route import (
    Route,
    RouteConfiguration,
    match_route,
    pick_service,
)

RETURN_SHARE = 0.3
"""The share of the time left after which a refused caller should be back."""

FALLBACK_DRAW = 1.0
"""A second attempt goes to the version that served before, if there is one."""

NO_CONFIGURATION_RETRY = Seconds(0.3)

Serve = Callable[[Request, Presence], Awaitable[Response]]
"""Answers one request of a caller that may leave."""

ListConfiguration = Callable[[], RouteConfiguration | None]

Observe = Callable[[Request, Route, Attempt], None]
"""Is told of each attempt that ended."""


@attrs.define(kw_only=True)
class Progress:
    """How far a request has come.

    Attributes:
        request: The request.
        route: Its route.
        service: The service that answers it.
        until: When its answer is of no use any more.
        draw: Its draw between the versions of the service, from 0 to 1.
        sends: Attempts that reached a server.
        may_have_run: Whether an attempt may have run.
        without: Servers that are not tried again.
        last: The last attempt that ended.
    """

    request: Request
    route: Route
    service: ServiceName
    until: Monotonic
    draw: float
    sends: int = 0
    may_have_run: bool = False
    without: frozenset[ServerId] = frozenset()
    last: Attempt | None = None


@attrs.frozen(kw_only=True)
class _Path:
    find_room: FindRoom
    send: Send
    budget: RepeatBudget
    observers: tuple[Observe, ...]
    timers: Timers


def make_serve(
    *,
    find_room: FindRoom,
    send: Send,
    budget: RepeatBudget,
    observers: tuple[Observe, ...],
    get_configuration: ListConfiguration,
    timers: Timers,
    random: Random,
) -> Serve:
    """Make the function that answers requests.

    Args:
        find_room: Finds a server with room.
        send: Makes one attempt.
        budget: Bounds second attempts.
        observers: Are told of each attempt.
        get_configuration: Gives the configuration in force.
        timers: Tells the time.
        random: Picks the services of routes that share.
    """
    path = _Path(
        find_room=find_room,
        send=send,
        budget=budget,
        observers=observers,
        timers=timers,
    )

    async def serve(request: Request, presence: Presence) -> Response:
        configuration = get_configuration()
        if configuration is None:
            return refuse_request(
                EbonystreamError(ErrorKind.NOT_CONFIGURED),
                retry_after=NO_CONFIGURATION_RETRY,
            )
        route = match_route(configuration, host=request.host, path=request.path)
        if route is None:
            return refuse_request(EbonystreamError(ErrorKind.UNKNOWN_ROUTE))
        progress = Progress(
            request=request,
            route=route,
            service=pick_service(route, random),
            until=_find_end(request, route),
            draw=random.random(),
        )
        return await _run_in_time(path, progress, presence)

    return serve


def _find_end(request: Request, route: Route) -> Monotonic:
    end = Monotonic(request.arrived + route.timeout)
    if request.deadline is None:
        return end
    return min(end, request.deadline)


async def _run_in_time(
    path: _Path, progress: Progress, presence: Presence
) -> Response:
    with trio.move_on_at(progress.until):
        return await _run_while_wanted(path, progress, presence)
    return _give_up(path, progress)


async def _run_while_wanted(
    path: _Path, progress: Progress, presence: Presence
) -> Response:
    """Run; what may run more than once ends when its caller leaves."""
    if progress.route.kind is CallKind.IDEMPOTENT:
        with presence.interruptible():
            return await _run(path, progress, presence)
        return _give_up(path, progress)
    return await _run(path, progress, presence)


async def _run(path: _Path, progress: Progress, presence: Presence) -> Response:
    response: Response | None = None
    while response is None:
        found = await _find_room(path, progress, presence)
        if isinstance(found, NoRoom):
            return _refuse_full(path, progress, found)
        response = await _attempt(path, progress, found)
    return response


async def _find_room(
    path: _Path, progress: Progress, presence: Presence
) -> Offer | NoRoom:
    wanted = Wanted(
        route=progress.route,
        service=progress.service,
        arrived=progress.request.arrived,
        until=progress.until,
        draw=progress.draw,
        without=progress.without,
    )
    with presence.interruptible():
        return await path.find_room(wanted)
    return NoRoom(after=Seconds(0), asked=0, why='caller_left')


async def _attempt(
    path: _Path, progress: Progress, offer: Offer
) -> Response | None:
    """Make one attempt; None where another one should be made."""
    now = path.timers.now()
    if progress.sends and not path.budget.take(progress.service, now):
        return _answer_last(path, progress)
    if not progress.sends:
        path.budget.count_first(progress.service, now)
    progress.sends += 1
    run_before = progress.may_have_run
    progress.may_have_run = True
    attempt = await _send_observed(path, progress, offer)
    if attempt.is_not_run():
        progress.may_have_run = run_before
    if attempt.answer is None and attempt.is_not_run():
        progress.sends -= 1
    return _conclude(path, progress, attempt)


async def _send_observed(
    path: _Path, progress: Progress, offer: Offer
) -> Attempt:
    """Make an attempt; one that is abandoned is observed too."""
    began = path.timers.now()
    try:
        return await path.send(progress.request, offer, progress.until)
    except trio.Cancelled:
        took = Seconds(path.timers.now() - began)
        _tell_observers(
            path,
            progress,
            Attempt(offer=offer, answer=None, refused=None, took=took),
        )
        raise


def _tell_observers(path: _Path, progress: Progress, attempt: Attempt) -> None:
    for observe in path.observers:
        observe(progress.request, progress.route, attempt)


def _conclude(
    path: _Path, progress: Progress, attempt: Attempt
) -> Response | None:
    progress.last = attempt
    progress.without |= {attempt.offer.sighting.server.entry.id}
    progress.draw = FALLBACK_DRAW
    _tell_observers(path, progress, attempt)
    answer = attempt.answer
    if answer is not None and answer.verdict is Verdict.SERVED:
        return Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    if _may_try_again(path, progress, attempt):
        return None
    return _answer_last(path, progress)


def _may_try_again(path: _Path, progress: Progress, attempt: Attempt) -> bool:
    repeatable = progress.route.kind is CallKind.IDEMPOTENT
    if progress.sends >= progress.route.attempts:
        return False
    if path.timers.now() >= progress.until:
        return False
    return repeatable or attempt.is_not_run()


def _answer_last(path: _Path, progress: Progress) -> Response:
    """Answer with what the last attempt brought."""
    attempt = progress.last
    answer = attempt.answer if attempt else None
    if answer is not None and answer.verdict is Verdict.FAILED:
        return Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    if progress.may_have_run:
        return refuse_request(EbonystreamError(ErrorKind.OUTCOME_LOST))
    return refuse_request(
        EbonystreamError(ErrorKind.REFUSED_BY_BACKEND),
        retry_after=_find_return(path, progress, Seconds(0)),
    )


def _refuse_full(path: _Path, progress: Progress, found: NoRoom) -> Response:
    if progress.may_have_run:
        return _answer_last(path, progress)
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, found.why),
        retry_after=_find_return(path, progress, found.after),
    )


def _give_up(path: _Path, progress: Progress) -> Response:
    """Answer a request whose time is over."""
    if progress.may_have_run:
        return refuse_request(EbonystreamError(ErrorKind.STILL_RUNNING))
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, 'time is over')
    )


def _find_return(path: _Path, progress: Progress, after: Seconds) -> Seconds:
    """Find when a refused caller should be back, in seconds."""
    deadline = progress.request.deadline or progress.until
    left = max(0, deadline - path.timers.now())
    return Seconds(min(after, left * RETURN_SHARE))
