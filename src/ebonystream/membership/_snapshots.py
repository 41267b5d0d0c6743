"""Snapshots: a host that lags behind the log restores the state of a peer.

All hosts build their state from the same streams of the log. A host may be
unable to read a stream because the log is down or no longer has the records
that the host needs. It then sees in heartbeats that peers are further ahead,
and requests a snapshot of their state from one of them.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import attrs

from ebonystream._ids import (
    CorrelationId,
    HostId,
    Monotonic,
    Offset,
    Seconds,
    StreamName,
)
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.membership._state import MemberState
from ebonystream.membership._table import MemberTable
from ebonystream.peer import (
    Heartbeat,
    RespondToSnapshotRequest,
    SnapshotRequest,
    SnapshotResponse,
)

CHECK_PERIOD = Seconds(0.5)
"""Interval between comparisons with the offsets of peers."""

MAX_LAG_DURATION = Seconds(1)
"""How long a host may take to reach the offset of a peer by itself before it
requests a snapshot."""

SNAPSHOT_TIMEOUT = Seconds(2)
"""How long a host waits for a snapshot."""

FIRST_OFFSET = Offset(0)

UNSET_CORRELATION = CorrelationId(0)
"""Placeholder that the exchange replaces by the correlation id."""

SOURCE_STATES = frozenset((MemberState.REACHABLE, MemberState.LEAVING))
"""States of peers that a snapshot may be requested from."""

RequestSnapshot = Callable[
    [HostId, SnapshotRequest, Monotonic], Awaitable[SnapshotResponse]
]
"""Request a snapshot from a peer, with a deadline.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE` without a response.
"""


@attrs.frozen(kw_only=True)
class SharedState:
    """State that every host builds from one stream of the log.

    Attributes:
        stream: Name of the stream.
        get_next_offset: Returns the offset of the first record that is not yet
            applied.
        read_next_offset: Returns that offset of a peer, from its heartbeat.
        encode: Encodes the state; None if there is none to share.
        restore: Replaces the state by an encoded one; False if that was
            rejected.
    """

    stream: StreamName
    get_next_offset: Callable[[], Offset]
    read_next_offset: Callable[[Heartbeat], Offset]
    encode: Callable[[], bytes | None]
    restore: Callable[[bytes], bool]


@attrs.frozen(kw_only=True)
class SnapshotSources:
    """Means of getting a snapshot.

    Attributes:
        table: Peers and their latest heartbeats.
        request: Requests a snapshot from a peer.
        timers: Source of the current time.
        random: Chooses among the peers that are ahead.
    """

    table: MemberTable
    request: RequestSnapshot
    timers: Timers
    random: Random


@attrs.define
class Lag:
    """Track for how long this host has been behind its peers.

    Attributes:
        target: Offset that a peer has reached and this host has to reach.
        since: When the target was set.
    """

    target: Offset = FIRST_OFFSET
    since: Monotonic = Monotonic(0)

    def is_overdue(
        self, local_offset: Offset, peer_offset: Offset, now: Monotonic
    ) -> bool:
        """Return whether the host has been below the target too long.

        A target that is reached is replaced by the highest offset of a peer.

        Args:
            local_offset: Offset that this host has reached.
            peer_offset: Highest offset that a peer has reached.
            now: Current time.
        """
        if local_offset < self.target:
            return now - self.since >= MAX_LAG_DURATION
        if local_offset < peer_offset:
            self.target = peer_offset
            self.since = now
        return False


async def catch_up(state: SharedState, sources: SnapshotSources) -> None:
    """Fetch a snapshot whenever this host has lagged too long, without end.

    Args:
        state: State to keep up to date.
        sources: Means of getting a snapshot.
    """
    lag = Lag()
    async for now in sources.timers.subscribe(period=CHECK_PERIOD):
        offsets = _list_peers_ahead(state, sources.table)
        peer_offset = max(offsets.values(), default=FIRST_OFFSET)
        if (
            lag.is_overdue(state.get_next_offset(), peer_offset, now)
            and offsets
        ):
            host = sources.random.choice(sorted(offsets))
            await _fetch_snapshot(host, state, sources)


def make_snapshot_handler(
    states: Sequence[SharedState],
) -> RespondToSnapshotRequest:
    """Return the function that responds to requests for snapshots.

    Args:
        states: States that this host shares.
    """
    by_stream = {state.stream: state for state in states}

    async def respond(
        sender: HostId, request: SnapshotRequest
    ) -> SnapshotResponse | None:
        state = by_stream.get(request.stream)
        encoded = None if state is None else state.encode()
        if state is None or encoded is None:
            return None
        return SnapshotResponse(
            request.correlation, state.get_next_offset(), encoded
        )

    return respond


def _list_peers_ahead(
    state: SharedState, table: MemberTable
) -> dict[HostId, Offset]:
    local_offset = state.get_next_offset()
    offsets = {
        member.host: state.read_next_offset(member.heartbeat)
        for member in table.list_members()
        if member.heartbeat is not None and member.state in SOURCE_STATES
    }
    return {
        host: offset
        for host, offset in offsets.items()
        if offset > local_offset
    }


async def _fetch_snapshot(
    host: HostId, state: SharedState, sources: SnapshotSources
) -> None:
    deadline = Monotonic(sources.timers.now() + SNAPSHOT_TIMEOUT)
    request = SnapshotRequest(UNSET_CORRELATION, state.stream)
    try:
        snapshot = await sources.request(host, request, deadline)
    except EbonystreamError:
        return
    before = state.get_next_offset()
    # The host may have read the log itself in the meantime.
    if snapshot.next_offset > before:
        state.restore(snapshot.state)
    assert state.get_next_offset() >= before, (
        f'a snapshot set {state.stream} back behind {before}'
    )
