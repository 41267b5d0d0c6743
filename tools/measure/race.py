"""The attempts of one call, with a hedge if late; the first success wins."""

from collections.abc import Callable
from functools import partial

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream.backend import ABANDONED, Attempt, AttemptKind
from ebonystream.call import Call, CallResponse
from ebonystream.composition._extra_attempts import HEDGE_LATENCY_FACTOR
from ebonystream.errors import EbonystreamError, Outcome
from ebonystream.hedging import compute_hedge_delay
from ebonystream.routing import Waiter, cancel_wait, enqueue_call
from measure.hosts import Host
from measure.loop import Loop
from measure.wire import CloseConnection, RecordOutcome
from measure.world import Arrival

SUCCESSFUL_ATTEMPT = Attempt(
    AttemptKind.ANSWERED,
    response=CallResponse(
        outcome=Outcome.RAN, status=200, headers=(), body=b''
    ),
)


@attrs.define(kw_only=True, eq=False)
class Race:
    """A call and its concurrent attempts.

    Attributes:
        arrival: The call as sent by its client.
        host: The entry host that received it.
        call: The call in the product's representation.
        tried_servers: Servers that the call was sent to.
        cancels: Function that cancels an attempt, for each attempt in
            progress.
        outcome: Outcome of the ended attempts; empty if none has ended.
        is_finished: Whether the client has received a response.
    """

    arrival: Arrival
    host: Host
    call: Call
    tried_servers: set[ServerId] = attrs.field(factory=set)
    cancels: dict[Waiter, CloseConnection] = attrs.field(factory=dict)
    outcome: str = ''
    is_finished: bool = False

    def record_end(self, waiter: Waiter, outcome: str) -> bool:
        """Record the end of an attempt; return whether it ends the call."""
        self.cancels.pop(waiter, None)
        if not self.outcome or outcome in {'ran', 'late'}:
            self.outcome = outcome
        self.is_finished = outcome == 'ran' or not self.cancels
        return self.is_finished


SendCall = Callable[[Race, ServerId, Callable[[bool], None]], CloseConnection]
"""Sends an attempt; calls back with whether the response is complete."""


def schedule_hedge(
    race: Race, loop: Loop, start: Callable[[Race], None]
) -> None:
    """Schedule a second attempt of a late call if the budget allows it."""
    host = race.host
    host.hedge_budget.record_first_attempt()
    usual_latency = host.usual_latencies.get_usual(race.call.route)

    def hedge() -> None:
        if (
            race.tried_servers
            and not race.is_finished
            and host.hedge_budget.try_acquire()
        ):
            start(race)

    if usual_latency:
        delay = compute_hedge_delay(usual_latency, HEDGE_LATENCY_FACTOR)
        loop.call_after(delay, hedge)


def start_attempt(
    race: Race,
    *,
    loop: Loop,
    send: SendCall,
    record_outcome: RecordOutcome,
    schedule_assignment: Callable[[Host], None],
) -> None:
    """Queue a call for a slot of a server that it has not been sent to."""
    host = race.host
    waiter = Waiter(
        call=race.call,
        tried=frozenset(race.tried_servers),
        rank=host.rank_call(race.call),
        queued_at=Monotonic(loop.now),
        wake=lambda: _on_wake(race, waiter, loop, send=send, end=end),
    )
    end = partial(_end_attempt, race, waiter, record_outcome)

    def expire() -> None:
        if waiter in race.cancels and waiter.slot is None:
            cancel_wait(host.exchange, waiter)
            end('late')

    race.cancels[waiter] = partial(cancel_wait, host.exchange, waiter)
    try:
        is_usable = partial(host.is_usable, race.call)
        enqueue_call(host.exchange, waiter, host.directory, is_usable)
    except EbonystreamError as error:
        end(error.kind.value)
        return
    if waiter.slot is None and waiter.error is None:
        loop.call_after(max(0, race.call.deadline - loop.now), expire)
        schedule_assignment(host)


def _on_wake(
    race: Race,
    waiter: Waiter,
    loop: Loop,
    *,
    send: SendCall,
    end: Callable[[str], None],
) -> None:
    if waiter.slot is None:
        end(waiter.error.kind.value if waiter.error else 'late')
        return
    server = waiter.slot.server
    started_at = loop.now

    def observe(attempt: Attempt) -> None:
        duration = Seconds(loop.now - started_at)
        race.host.observe_attempt(race.call, server, attempt, duration)

    def on_end(is_complete: bool) -> None:
        if waiter not in race.cancels:
            return
        observe(SUCCESSFUL_ATTEMPT if is_complete else ABANDONED)
        end('ran' if is_complete else 'late')

    def cancel() -> None:
        close_connection()
        observe(ABANDONED)

    race.tried_servers.add(server.id)
    close_connection = send(race, server.id, on_end)
    race.cancels[waiter] = cancel


def _end_attempt(
    race: Race, waiter: Waiter, record_outcome: RecordOutcome, outcome: str
) -> None:
    if not race.record_end(waiter, outcome):
        return
    record_outcome(race.arrival, race.outcome)
    while race.cancels:
        race.cancels.popitem()[1]()
