"""Messages in which an entry host reports its state and observations."""

from typing import Annotated

import msgspec

from ebonystream._ids import (
    EpochMs,
    FencingToken,
    HostId,
    Incarnation,
    MoveId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    StoreEra,
    WindowNumber,
    ZoneName,
)
from ebonystream._validation import MAX_DURATION_S, MAX_NAME_LENGTH
from ebonystream.orders import OrdersPosition
from ebonystream.versionmove import MoveCounts, MoveVerdict

MAX_DEMAND = 1_000_000_000
MAX_FAILURES = 1_000_000
MAX_SEQUENCE = 9_007_199_254_740_991
IP_ADDRESS = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}$'
_NAME = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)


class FailingServer(msgspec.Struct, frozen=True, array_like=True):
    """A backend server with recent failed requests.

    Attributes:
        server: Name of the backend server.
        failures: Number of failed requests, weighted down with their age.
    """

    server: ServerId
    failures: Annotated[float, msgspec.Meta(ge=0, le=MAX_FAILURES)]


class LeavingServer(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose responses say that it is leaving.

    Attributes:
        server: Name of the backend server.
        started: Start of the run that is leaving, in Unix milliseconds; None if
            its entry does not report it.
    """

    server: ServerId
    started: EpochMs | None


class MoveFacts(msgspec.Struct, frozen=True, array_like=True):
    """State of a version move as seen by one host.

    Attributes:
        move: Identifier of the move.
        elapsed: Time since the move was ordered, in seconds.
        complete: Whether this host has stopped sending requests to the old
            version and has none in flight there.
        verdict: State of the move as far as this host knows.
        reported_verdict: State of the move in the newest report in the store;
            None if there is no report.
        counts: Results of this host's own attempts on both versions.
        store_checked: Whether this host knows of a verdict that was reported
            earlier, if there is one.
    """

    move: MoveId
    elapsed: Annotated[Seconds, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
    complete: bool
    verdict: MoveVerdict
    reported_verdict: MoveVerdict | None
    counts: MoveCounts
    store_checked: bool = False


class DutyFacts(msgspec.Struct, frozen=True, array_like=True):
    """What one host knows about the duty of reporting usage.

    Attributes:
        acting: Whether this host performs the duty or is about to.
        unfit: Whether this host lately could not perform the duty.
        holder: Host that appended the newest record; empty if none is known.
        token: Fencing token of that record.
        end: End of the topic after that record.
        window: Newest window of which a report was appended; -1 if none.
        reported: Newest window whose report was answered; -1 if none.
    """

    acting: bool
    unfit: bool
    holder: Annotated[HostId, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    token: Annotated[FencingToken, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    end: Annotated[Offset, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    window: Annotated[WindowNumber, msgspec.Meta(ge=-1, le=MAX_SEQUENCE)]
    reported: Annotated[WindowNumber, msgspec.Meta(ge=-1, le=MAX_SEQUENCE)]


class RankDemandFacts(msgspec.Struct, frozen=True, array_like=True):
    """Recent requests of one rank for a service, at the reporting host.

    Attributes:
        service: Name of the service.
        rank: Rank of the requests.
        arrived: Hundredths of a request per second that arrived.
        started: Hundredths of a request per second that were sent to a server.
        work: Hundredths of a slot that they would occupy on idle servers.
    """

    service: Annotated[ServiceName, _NAME]
    rank: Annotated[int, msgspec.Meta(ge=0, le=MAX_DEMAND)]
    arrived: Annotated[int, msgspec.Meta(ge=0, le=MAX_DEMAND)]
    started: Annotated[int, msgspec.Meta(ge=0, le=MAX_DEMAND)]
    work: Annotated[int, msgspec.Meta(ge=0, le=MAX_DEMAND)]


class HostFacts(msgspec.Struct, frozen=True, array_like=True):
    """State of one entry host, as it reports it to its peers.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host; each restart starts a new one.
        sequence: Sequence number of this message within the incarnation,
            starting at 1.
        zone: Availability zone of the host.
        address: IP address at which peers reach the host.
        leaving: Whether the host is shutting down.
        store_unreachable: Whether the store does not respond to the host.
        orders_end: Offset up to which the host has read the orders.
        failing_servers: Backend servers on which its requests failed recently.
        moves: Version moves known to the host.
        suspect_notes: Encoded notes on requests that may crash backend
            servers.
        leaving_servers: Backend servers that are leaving although their
            entries do not say so.
        probe_demand: Probes per second that the host has wanted lately.
        settled: Whether the host has run long enough to know its peers, and
            to be known by them.
        duty: What the host knows about the duty of reporting usage; None if
            this deployment does not report it.
        rank_demands: Recent requests of the host by service and rank.
        orders_era: Era of the store that the host has read the orders in.
        proof_age: Age of the proof that its orders are the newest, in seconds;
            None if there never was one.
    """

    host: Annotated[HostId, _NAME]
    incarnation: Annotated[Incarnation, _NAME]
    sequence: Annotated[int, msgspec.Meta(ge=1, le=MAX_SEQUENCE)]
    zone: Annotated[ZoneName, _NAME]
    address: Annotated[str, msgspec.Meta(pattern=IP_ADDRESS)]
    leaving: bool
    store_unreachable: bool
    orders_end: Annotated[Offset, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    failing_servers: tuple[FailingServer, ...] = ()
    moves: tuple[MoveFacts, ...] = ()
    suspect_notes: tuple[str, ...] = ()
    leaving_servers: tuple[LeavingServer, ...] = ()
    probe_demand: Annotated[float, msgspec.Meta(ge=0, le=MAX_DEMAND)] = 0
    settled: bool = False
    duty: DutyFacts | None = None
    rank_demands: tuple[RankDemandFacts, ...] = ()
    orders_era: Annotated[StoreEra, msgspec.Meta(ge=0, le=MAX_SEQUENCE)] = (
        StoreEra(0)
    )
    proof_age: (
        Annotated[Seconds, msgspec.Meta(ge=0, le=MAX_DURATION_S)] | None
    ) = None

    def get_orders_position(self) -> OrdersPosition:
        """Return the position up to which the host has read the orders."""
        return OrdersPosition(self.orders_era, self.orders_end)
