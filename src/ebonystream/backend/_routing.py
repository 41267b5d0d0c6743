"""Routing: which backend server a call is sent to next."""

from collections.abc import Callable
from random import Random

from ebonystream._ids import Seconds, ServerId, ZoneName
from ebonystream.backend._attempt import Attempt
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import MayTake, Place
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError, ErrorKind

CHOICES = 2


def make_placing(
    *,
    directory: Directory,
    is_out: Callable[[ZoneName], bool],
    random: Random,
    may_take: MayTake | None = None,
) -> Place:
    """Make the function that finds a server for a call.

    Args:
        directory: The servers that are known.
        is_out: Tells whether operators took a zone out.
        random: The seeded source of random choices.
        may_take: Tells whether a server may be sent a call; None for all.
    """

    async def place(call: Call, tried: set[ServerId]) -> BackendServer:
        fit = [
            server
            for server in directory.list_service(call.service)
            if server.id not in tried
            and not server.leaving
            and not is_out(server.zone)
            and (may_take is None or may_take(call, server))
        ]
        if not fit:
            raise EbonystreamError(ErrorKind.NO_BACKEND, call.service)
        drawn = random.sample(fit, min(CHOICES, len(fit)))
        server = min(drawn, key=_count_in_flight)
        server.in_flight += 1
        return server

    return place


def release_place(
    call: Call, server: BackendServer, attempt: Attempt, took: Seconds
) -> None:
    """Give the place of an ended attempt back; the first of the observers."""
    server.in_flight -= 1


def _count_in_flight(server: BackendServer) -> int:
    return server.in_flight
