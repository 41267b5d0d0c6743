"""Routing: a call waits at the entry host until a server has room for it."""

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
    UsualTimes,
)
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.routing._exchange import SlotExchange
from ebonystream.routing._waiting import Waiting

Rank = Callable[[Call], int]
"""Gives a call's place by plan; 0 goes first."""


NotePlaced = Callable[[Waiting, BackendServer], None]
"""Sees a call that got a slot at a server."""


def make_placing(
    *,
    exchange: SlotExchange,
    directory: Directory,
    is_out: Callable[[ZoneName], bool],
    rank: Rank,
    note: NotePlaced,
    timers: Timers,
) -> Place:
    """Make the function that finds a server for a call.

    A call that is cancelled while it waits, or just after it got a slot,
    holds nothing afterwards.

    Args:
        exchange: The slots of this host.
        directory: The servers that are known.
        is_out: Tells whether operators took a zone out.
        rank: Gives a call's place by plan.
        note: Sees each call that got a slot, with the reason.
        timers: Tells the time.
    """

    def is_usable(server: BackendServer) -> bool:
        return not is_out(server.zone)

    async def place(call: Call, tried: set[ServerId]) -> BackendServer:
        call_rank = rank(call)
        while True:
            event = trio.Event()
            waiting = Waiting(
                call=call,
                tried=frozenset(tried),
                rank=call_rank,
                since=timers.now(),
                wake=event.set,
            )
            join(exchange, waiting, directory, is_usable)
            server = await _wait_safely(exchange, waiting, event)
            if not is_out(server.zone):
                note(waiting, server)
                return server
            # The zone went out between the slot and this task's turn.
            exchange.end(server)

    return place


def join(
    exchange: SlotExchange,
    waiting: Waiting,
    directory: Directory,
    is_usable: Callable[[BackendServer], bool],
) -> None:
    """Let a call wait; it may have its slot at once.

    A server that bears no call now, as while it starts, is waited for.

    Args:
        exchange: The slots of this host.
        waiting: The call.
        directory: The servers that are known.
        is_usable: Tells whether a server may have any call.

    Raises:
        EbonystreamError: No server may have the call, or it would wait longer
            than its deadline.
    """
    service = waiting.call.service
    if not any(
        server.id not in waiting.tried
        and not server.leaving
        and is_usable(server)
        for server in directory.list_service(service)
    ):
        raise EbonystreamError(ErrorKind.NO_BACKEND, service)
    exchange.get_service(service).line.join(waiting)
    exchange.settle(service)
    if waiting.slot is None:
        exchange.ask(service)


def abandon(exchange: SlotExchange, waiting: Waiting) -> None:
    """Give back whatever a call has that ends its wait for another reason."""
    if waiting.slot is None:
        exchange.get_service(waiting.call.service).line.leave(waiting)
    else:
        exchange.end(waiting.slot.server)


async def _wait_safely(
    exchange: SlotExchange, waiting: Waiting, event: trio.Event
) -> BackendServer:
    placed = None
    try:
        placed = await _wait(exchange, waiting, event)
    finally:
        if placed is None:
            abandon(exchange, waiting)
    return placed


async def _wait(
    exchange: SlotExchange, waiting: Waiting, event: trio.Event
) -> BackendServer:
    service = waiting.call.service
    with trio.move_on_at(waiting.call.deadline):
        while not event.is_set():
            with trio.move_on_after(exchange.get_pause(service)):
                await event.wait()
            exchange.settle(service)
            exchange.ask(service)
    if waiting.slot is not None:
        return waiting.slot.server
    raise waiting.error or EbonystreamError(ErrorKind.DEADLINE_EXPIRED)


def make_learning(
    *, exchange: SlotExchange, usual: UsualTimes, timers: Timers
) -> Observe:
    """Make the observer that learns from an attempt and frees its slot.

    Args:
        exchange: The slots of this host.
        usual: How long calls usually take.
        timers: Tells the time.
    """

    def learn(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        ratio = FAILURE_RATIO
        if attempt.kind is AttemptKind.ABANDONED:
            # It says nothing of the server unless it took unusually long.
            ratio = max(1, usual.measure(call.route, took))
        elif _is_good(attempt):
            ratio = usual.compare(call.route, took)
        if attempt.kind is not AttemptKind.WITHDRAWN:
            server.evidence.record(ratio, timers.now())
        exchange.end(server)

    return learn


def _is_good(attempt: Attempt) -> bool:
    answer = attempt.answer
    return (
        answer is not None and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )
