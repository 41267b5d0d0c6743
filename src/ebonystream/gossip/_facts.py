"""What one entry host says of itself and of what it has seen."""

import msgspec

from ebonystream._ids import (
    HostId,
    Incarnation,
    MoveId,
    Offset,
    Seconds,
    ServerId,
    ZoneName,
)
from ebonystream.versionmove import MoveCounts, MoveVerdict


class FailingServer(msgspec.Struct, frozen=True, array_like=True):
    """A backend server that failed requests lately.

    Attributes:
        server: The server.
        failures: Failed requests, weighed by their age.
    """

    server: ServerId
    failures: float


class MoveFacts(msgspec.Struct, frozen=True, array_like=True):
    """What one host knows of a version move.

    Attributes:
        move: The move.
        elapsed: How long ago it was ordered, in seconds.
        complete: Whether this host sends nothing more to the old version
            and has nothing in flight there.
        verdict: How it stands, as far as this host knows.
        reported_verdict: How it stands by the newest report in the store.
        counts: How both versions did in this host's own attempts.
    """

    move: MoveId
    elapsed: Seconds
    complete: bool
    verdict: MoveVerdict
    reported_verdict: MoveVerdict | None
    counts: MoveCounts


class HostFacts(msgspec.Struct, frozen=True, array_like=True):
    """What one entry host says.

    Attributes:
        host: Its name.
        incarnation: Its run; a restart brings a new one.
        sequence: Counts what it said in this run, from 1.
        zone: The availability zone it stands in.
        address: The IP number at which its peers reach it.
        leaving: Whether it stops.
        store_unreachable: Whether the store doesn't answer it.
        orders_end: The offset up to which it knows the orders.
        failing_servers: Servers that failed its requests lately.
        moves: The version moves that it knows.
        crash_notes: What it holds of requests that may end servers.
    """

    host: HostId
    incarnation: Incarnation
    sequence: int
    zone: ZoneName
    address: str
    leaving: bool
    store_unreachable: bool
    orders_end: Offset
    failing_servers: tuple[FailingServer, ...] = ()
    moves: tuple[MoveFacts, ...] = ()
    crash_notes: tuple[str, ...] = ()
