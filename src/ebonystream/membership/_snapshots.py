"""Snapshots: a host that is behind takes over the state of a peer.

Hosts fold the same streams of the log. One that can't read a stream, since the
log is down or has forgotten what it needs, learns from heartbeats that others
are further ahead, and asks one of them for what its fold came to.
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
from ebonystream.peer import AnswerFetch, FetchSnapshot, Heartbeat, Snapshot

CHECK_PERIOD = Seconds(0.5)

BEHIND_AFTER = Seconds(1)
"""How long a host may take to reach what a peer told of before it fetches."""

FETCH_PATIENCE = Seconds(2)

FIRST_OFFSET = Offset(0)

UNPAIRED = CorrelationId(0)
"""The correlation before the exchange fills it in."""

HELPERS = frozenset((MemberState.REACHABLE, MemberState.LEAVING))
"""States of the peers that are asked."""

AskSnapshot = Callable[[HostId, FetchSnapshot, Monotonic], Awaitable[Snapshot]]
"""Asks a peer for a snapshot up to a time.

Raises `EbonystreamError` of the kind `OWNER_UNREACHABLE`.
"""


@attrs.frozen(kw_only=True)
class SharedState:
    """A state that each host folds from one stream of the log.

    Attributes:
        stream: The stream.
        get_next: Gives the offset of the first record that it lacks.
        read_next: Gives the same of a peer, from its heartbeat.
        take: Spells the state; None where there is none to give.
        restore: Takes over a spelled state; False where it was refused.
    """

    stream: StreamName
    get_next: Callable[[], Offset]
    read_next: Callable[[Heartbeat], Offset]
    take: Callable[[], bytes | None]
    restore: Callable[[bytes], bool]


@attrs.frozen(kw_only=True)
class Helpers:
    """Where a host that is behind gets help.

    Attributes:
        table: The peers.
        ask: Asks one of them.
        timers: Tells the time.
        random: Chooses among those that are ahead.
    """

    table: MemberTable
    ask: AskSnapshot
    timers: Timers
    random: Random


@attrs.define
class Lag:
    """Whether this host has been behind for too long.

    Attributes:
        goal: An offset that a peer had reached.
        since: When this host learned of it.
    """

    goal: Offset = FIRST_OFFSET
    since: Monotonic = Monotonic(0)

    def is_long(self, own: Offset, newest: Offset, now: Monotonic) -> bool:
        """Tell whether the goal was missed for too long.

        Args:
            own: The offset that this host has reached.
            newest: The newest offset that a peer has reached.
            now: The time.
        """
        if own < self.goal:
            return now - self.since >= BEHIND_AFTER
        if own < newest:
            self.goal = newest
            self.since = now
        return False


async def catch_up(state: SharedState, helpers: Helpers) -> None:
    """Fetch a snapshot whenever this host is behind for too long, for ever.

    Args:
        state: The state.
        helpers: Where this host gets help.
    """
    lag = Lag()
    async for now in helpers.timers.subscribe(period=CHECK_PERIOD):
        ahead = _list_ahead(state, helpers.table)
        newest = max(ahead.values(), default=FIRST_OFFSET)
        if lag.is_long(state.get_next(), newest, now) and ahead:
            host = helpers.random.choice(sorted(ahead))
            await _fetch(host, state, helpers)


def make_fetch_answer(states: Sequence[SharedState]) -> AnswerFetch:
    """Make the function that answers requests for snapshots.

    Args:
        states: The states that are shared.
    """
    by_stream = {state.stream: state for state in states}

    async def answer_fetch(
        sender: HostId, request: FetchSnapshot
    ) -> Snapshot | None:
        state = by_stream.get(request.stream)
        taken = None if state is None else state.take()
        if state is None or taken is None:
            return None
        return Snapshot(request.correlation, state.get_next(), taken)

    return answer_fetch


def _list_ahead(state: SharedState, table: MemberTable) -> dict[HostId, Offset]:
    own = state.get_next()
    reached = {
        member.host: state.read_next(member.heartbeat)
        for member in table.list_members()
        if member.heartbeat is not None and member.state in HELPERS
    }
    return {host: next_ for host, next_ in reached.items() if next_ > own}


async def _fetch(host: HostId, state: SharedState, helpers: Helpers) -> None:
    deadline = Monotonic(helpers.timers.now() + FETCH_PATIENCE)
    request = FetchSnapshot(UNPAIRED, state.stream)
    try:
        snapshot = await helpers.ask(host, request, deadline)
    except EbonystreamError:
        return
    before = state.get_next()
    # The log may have come back while the snapshot was on its way.
    if snapshot.next > before:
        state.restore(snapshot.state)
    assert state.get_next() >= before, (
        f'a snapshot took {state.stream} back behind {before}'
    )
