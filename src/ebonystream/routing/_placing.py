"""Placement of calls, which wait on this host until a slot is free."""

from collections.abc import Callable
from http import HTTPStatus

import trio

from ebonystream._ids import Seconds, ServerId, ZoneName
from ebonystream._timers import Timers
from ebonystream.backend import (
    FAILURE_RATIO,
    Attempt,
    AttemptKind,
    BackendServer,
    Directory,
    Observe,
    Place,
    UsualLatencies,
)
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.routing._exchange import SlotExchange
from ebonystream.routing._waiting import Waiter

GetRank = Callable[[Call], int]
"""Returns the rank of a call by its customer's plan; rank 0 is served first."""


ObservePlacement = Callable[[Waiter, BackendServer], None]
"""Called with each call that got a slot, and with the server."""


def make_place_call(
    *,
    exchange: SlotExchange,
    directory: Directory,
    is_zone_out: Callable[[ZoneName], bool],
    get_rank: GetRank,
    observe_placement: ObservePlacement,
    timers: Timers,
) -> Place:
    """Return a function that finds a server for a call.

    If a call is cancelled while it waits, or just after it got a slot, it
    leaves the queue and its slot is released.

    Args:
        exchange: The slots of this host.
        directory: The known servers.
        is_zone_out: Returns whether operators took a zone out of service.
        get_rank: Returns the rank of a call.
        observe_placement: Called with each call that got a slot.
        timers: Source of the current time.
    """

    def is_zone_in_service(server: BackendServer) -> bool:
        return not is_zone_out(server.zone)

    async def place(call: Call, tried: set[ServerId]) -> BackendServer:
        call_rank = get_rank(call)
        while True:
            ended = trio.Event()
            waiter = Waiter(
                call=call,
                tried=frozenset(tried),
                rank=call_rank,
                queued_at=timers.now(),
                wake=ended.set,
            )
            enqueue_call(exchange, waiter, directory, is_zone_in_service)
            server = await _wait_or_clean_up(exchange, waiter, ended)
            if not is_zone_out(server.zone):
                observe_placement(waiter, server)
                return server
            # The zone was taken out of service after the slot was assigned
            # and before this task ran.
            exchange.release_slot(server)

    return place


def enqueue_call(
    exchange: SlotExchange,
    waiter: Waiter,
    directory: Directory,
    is_usable: Callable[[BackendServer], bool],
) -> None:
    """Queue a call, and assign it a slot at once if one is free.

    The call also waits for a server that accepts no calls now, such as one
    that is starting. A call that would wait too long is refused: it gets an
    error instead of a slot.

    Args:
        exchange: The slots of this host.
        waiter: The call.
        directory: The known servers.
        is_usable: Returns whether any call may be sent to a server.

    Raises:
        EbonystreamError: There is no server that the call may be sent to.
    """
    service = waiter.call.service
    if not any(
        server.id not in waiter.tried
        and not server.leaving
        and is_usable(server)
        for server in directory.list_servers(service)
    ):
        raise EbonystreamError(ErrorKind.NO_BACKEND, service)
    exchange.get_service_slots(service).queue.join(waiter)
    exchange.assign_slots(service)
    if waiter.slot is None:
        exchange.request_slots(service)


def cancel_wait(exchange: SlotExchange, waiter: Waiter) -> None:
    """Remove a call from the queue, or release the slot that it got."""
    if waiter.slot is None:
        exchange.get_service_slots(waiter.call.service).queue.remove(waiter)
    else:
        exchange.release_slot(waiter.slot.server)


async def _wait_or_clean_up(
    exchange: SlotExchange, waiter: Waiter, ended: trio.Event
) -> BackendServer:
    server = None
    try:
        server = await _wait_for_slot(exchange, waiter, ended)
    finally:
        if server is None:
            cancel_wait(exchange, waiter)
    return server


async def _wait_for_slot(
    exchange: SlotExchange, waiter: Waiter, ended: trio.Event
) -> BackendServer:
    service = waiter.call.service
    with trio.move_on_at(waiter.call.deadline):
        while not ended.is_set():
            with trio.move_on_after(exchange.get_request_delay(service)):
                await ended.wait()
            exchange.assign_slots(service)
            exchange.request_slots(service)
    if waiter.slot is not None:
        return waiter.slot.server
    raise waiter.error or EbonystreamError(ErrorKind.DEADLINE_EXPIRED)


def make_slot_observer(
    *, exchange: SlotExchange, usual_latencies: UsualLatencies, timers: Timers
) -> Observe:
    """Return an observer that records the latency and releases the slot.

    Args:
        exchange: The slots of this host.
        usual_latencies: Usual latency of a call, by route.
        timers: Source of the current time.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        ratio = FAILURE_RATIO
        if attempt.kind is AttemptKind.ABANDONED:
            # An abandoned attempt is evidence against the server only if it
            # took unusually long.
            ratio = max(1, usual_latencies.compute_ratio(call.route, duration))
        elif _is_successful(attempt):
            ratio = usual_latencies.update(call.route, duration)
        if attempt.kind is not AttemptKind.WITHDRAWN:
            server.relative_latency.record(ratio, timers.now())
        exchange.release_slot(server)

    return observe


def _is_successful(attempt: Attempt) -> bool:
    response = attempt.response
    return (
        response is not None
        and response.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
