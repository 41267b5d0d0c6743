"""Sends calls at a constant mean rate and records the results of each.

A path is a function that sends a call once. The direct path sends to the
backend servers, the routed path sends to the entry hosts.
"""

import enum
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import AsyncExitStack
from types import MappingProxyType

import attrs
import msgspec
import trio
from uuid6 import uuid7

from ebonystream.configuration import Method
from standins.backend import Echo
from standins.client import Client, ConnectionLost, Response, connect, fetch

LOOPBACK = '127.0.0.1'
MS_PER_SECOND = 1000
CALL_TIMEOUT_MS = 2000
RESPONSE_TIMEOUT_SECONDS = 3
MAX_SENDS = 3
RESEND_DELAY_SECONDS = 0.05


class Outcome(enum.Enum):
    """Outcome of a call as the caller sees it."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


OUTCOMES_BY_HEADER: Mapping[str, Outcome] = MappingProxyType(
    {
        'ran': Outcome.ANSWERED,
        'not_run': Outcome.NOT_RUN,
    }
)


@attrs.frozen(kw_only=True)
class CallKind:
    """A kind of call that a customer sends.

    Attributes:
        customer: The customer.
        route: The route of the call.
        service: The service that runs the call.
        method: The HTTP method.
        target: The path.
        once: Whether the call must run at most once.
        share: Relative frequency among all kinds of call.
    """

    customer: str
    route: str
    service: str
    method: Method
    target: str
    once: bool
    share: int


@attrs.frozen(kw_only=True)
class Call:
    """A call to send.

    Attributes:
        kind: The kind of call.
        tag: Id of the request, which the response must repeat.
        key: The idempotency key; empty if the call may run more than once.
        copies: Number of requests sent at the same time with the same key.
    """

    kind: CallKind
    tag: str
    key: str = ''
    copies: int = 1


@attrs.frozen(kw_only=True)
class SendResult:
    """The result of sending a call once.

    Attributes:
        outcome: The outcome as the caller sees it.
        server: The backend server that ran the call; empty if unknown.
        crossed: Whether the response belongs to another request.
    """

    outcome: Outcome
    server: str = ''
    crossed: bool = False


@attrs.define(kw_only=True)
class CallRecord:
    """The record of a call and its results.

    Attributes:
        call: The call.
        started_at: When the call was first sent, on trio's clock.
        duration_ms: Time from the first send to the last result.
        results: The result of each send.
    """

    call: Call
    started_at: float
    duration_ms: float = 0
    results: list[SendResult] = attrs.field(factory=list)

    @property
    def outcome(self) -> Outcome:
        """The outcome after all sends: answered before not run or unknown."""
        outcomes = {result.outcome for result in self.results}
        known = (Outcome.ANSWERED, Outcome.NOT_RUN)
        return next(
            (outcome for outcome in known if outcome in outcomes),
            Outcome.UNKNOWN,
        )


Send = Callable[[Call], Awaitable[SendResult]]
"""Send a call once on a path."""

ReadResponse = Callable[[Call, Response], SendResult]
"""Derive the result of a send from the response on a path."""


@attrs.define
class ConnectionPool:
    """Persistent connections to one port.

    Attributes:
        port: The port on loopback.
        idle: The connections without a call in flight.
    """

    port: int
    idle: list[Client] = attrs.field(factory=list)


def make_sender(
    choose_pool: Callable[[Call], ConnectionPool],
    read_response: ReadResponse,
) -> Send:
    """Return a function that sends calls on one path.

    Args:
        choose_pool: Chooses the connection pool for a call.
        read_response: Derives the result from the response.
    """

    async def send(call: Call) -> SendResult:
        with trio.move_on_after(RESPONSE_TIMEOUT_SECONDS):
            try:
                response = await _send_request(choose_pool(call), call)
            except (ConnectionLost, OSError):
                return SendResult(outcome=Outcome.UNKNOWN)
            return read_response(call, response)
        return SendResult(outcome=Outcome.UNKNOWN)

    return send


def read_server_response(call: Call, response: Response) -> SendResult:
    """Return the result of a call that was sent to a backend server.

    Args:
        call: The call.
        response: The response of the backend server.
    """
    if response.headers.get('x-not-run') == 'true':
        return SendResult(outcome=Outcome.NOT_RUN)
    return _read_echo(call, response)


def read_entry_host_response(call: Call, response: Response) -> SendResult:
    """Return the result of a call that was sent to an entry host.

    Args:
        call: The call.
        response: The response of the entry host.
    """
    header = response.headers.get('x-outcome', '')
    outcome = OUTCOMES_BY_HEADER.get(header, Outcome.UNKNOWN)
    if outcome is Outcome.ANSWERED:
        return _read_echo(call, response)
    return SendResult(outcome=outcome)


async def run_load(
    send: Send,
    kinds: Sequence[CallKind],
    *,
    rate: float,
    seed: int,
    stop: trio.Event,
    duplicate_every: int = 0,
) -> list[CallRecord]:
    """Send calls at random times until stopped, then wait for their results.

    The intervals between calls are exponentially distributed.

    Args:
        send: The path to send on.
        kinds: The kinds of call.
        rate: Mean number of calls per second.
        seed: Seed of the intervals and of the choice of kinds.
        stop: Set to stop sending calls.
        duplicate_every: One in this many calls is sent as two requests at the
            same time if it has a key; 0 for none.
    """
    random_source = random.Random(seed)
    shares = [kind.share for kind in kinds]
    records: list[CallRecord] = []
    send_at = trio.current_time()
    async with trio.open_nursery() as calls:
        while not stop.is_set():
            kind = random_source.choices(kinds, shares)[0]
            duplicated = duplicate_every > 0 and not random_source.randrange(
                duplicate_every
            )
            call = _make_call(
                kind, f'{seed}-{len(records)}', duplicated=duplicated
            )
            record = CallRecord(call=call, started_at=trio.current_time())
            records.append(record)
            calls.start_soon(_run_call, send, record)
            send_at += random_source.expovariate(rate)
            await trio.sleep_until(send_at)
    return records


def _make_call(kind: CallKind, tag: str, *, duplicated: bool) -> Call:
    if kind.once:
        copies = 2 if duplicated else 1
        return Call(kind=kind, tag=tag, key=str(uuid7()), copies=copies)
    return Call(kind=kind, tag=tag)


async def _run_call(send: Send, record: CallRecord) -> None:
    record.started_at = trio.current_time()
    async with trio.open_nursery() as copies:
        for _ in range(record.call.copies):
            copies.start_soon(_send_once, send, record)
    # Sending the same key again is safe and resolves the unknown outcome of a
    # lost response.
    while record.call.key and _should_resend(record):
        await trio.sleep(RESEND_DELAY_SECONDS)
        await _send_once(send, record)
    record.duration_ms = (
        trio.current_time() - record.started_at
    ) * MS_PER_SECOND


async def _send_once(send: Send, record: CallRecord) -> None:
    record.results.append(await send(record.call))


def _should_resend(record: CallRecord) -> bool:
    unknown = record.outcome is Outcome.UNKNOWN
    return unknown and len(record.results) < MAX_SENDS


async def _send_request(pool: ConnectionPool, call: Call) -> Response:
    client = _pop_idle(pool) or await connect(LOOPBACK, pool.port)
    async with AsyncExitStack() as cleanup:
        cleanup.push_async_callback(trio.aclose_forcefully, client.stream)
        response = await fetch(
            client,
            call.kind.method,
            call.kind.target,
            headers=_make_headers(call),
        )
        if client.reusable:
            cleanup.pop_all()
            pool.idle.append(client)
    return response


def _pop_idle(pool: ConnectionPool) -> Client | None:
    while pool.idle:
        client = pool.idle.pop()
        if not client.closed_by_server:
            return client
    return None


def _make_headers(call: Call) -> Mapping[str, str]:
    headers = {
        'x-customer': call.kind.customer,
        'x-route': call.kind.route,
        'x-timeout-ms': str(CALL_TIMEOUT_MS),
        'x-request-tag': call.tag,
    }
    if call.key:
        headers['idempotency-key'] = call.key
    return headers


def _read_echo(call: Call, response: Response) -> SendResult:
    echo = msgspec.json.decode(response.body, type=Echo)
    return SendResult(
        outcome=Outcome.ANSWERED,
        server=echo.server,
        crossed=echo.tag != call.tag,
    )
