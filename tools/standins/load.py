"""Sends calls at a steady rate and notes what became of each.

A path is a plain function that sends one call once; the direct path goes to
the backend servers, the routed path through the entry hosts.
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
from standins.client import Client, ConnectionLost, Reply, connect, fetch

LOOPBACK = '127.0.0.1'
MS_PER_SECOND = 1000
TIMEOUT_MS = 2000
PATIENCE_SECONDS = 3
MOST_SENDS = 3
PAUSE_SECONDS = 0.05


class Outcome(enum.Enum):
    """What the caller can tell of a call."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


OUTCOMES: Mapping[str, Outcome] = MappingProxyType(
    {
        'ran': Outcome.ANSWERED,
        'not_run': Outcome.NOT_RUN,
    }
)


@attrs.frozen(kw_only=True)
class Job:
    """One kind of call that a customer makes.

    Attributes:
        customer: Who makes it.
        route: The route that it takes.
        service: The service that answers it.
        method: The HTTP method.
        target: The path.
        once: Whether it must run at most once.
        share: Its share of the calls, against the others.
    """

    customer: str
    route: str
    service: str
    method: Method
    target: str
    once: bool
    share: int


@attrs.frozen(kw_only=True)
class Ticket:
    """One call to send.

    Attributes:
        job: The kind of call.
        tag: Names the request; its answer must say the same.
        key: Its idempotency key; empty where it needs none.
        copies: How many are sent at once, under the one key.
    """

    job: Job
    tag: str
    key: str = ''
    copies: int = 1


@attrs.frozen(kw_only=True)
class Verdict:
    """What one send of a call came to.

    Attributes:
        outcome: What the caller can tell of it.
        server: The backend server that ran it, if known.
        crossed: Whether the answer was for another request.
    """

    outcome: Outcome
    server: str = ''
    crossed: bool = False


@attrs.define(kw_only=True)
class Sample:
    """What became of one call.

    Attributes:
        ticket: The call.
        begun: When it was first sent, on trio's clock.
        took_ms: How long it took to its last answer.
        verdicts: What each send came to.
    """

    ticket: Ticket
    begun: float
    took_ms: float = 0
    verdicts: list[Verdict] = attrs.field(factory=list)

    @property
    def outcome(self) -> Outcome:
        """What the caller can tell once all sends are done."""
        told = {verdict.outcome for verdict in self.verdicts}
        known = (Outcome.ANSWERED, Outcome.NOT_RUN)
        return next((one for one in known if one in told), Outcome.UNKNOWN)


Send = Callable[[Ticket], Awaitable[Verdict]]
"""Sends a call once, on one path."""

Judge = Callable[[Ticket, Reply], Verdict]
"""Reads the answer of one path."""


@attrs.define
class Pool:
    """Kept connections to one port.

    Attributes:
        port: The port on loopback.
        idle: The connections that carry no call now.
    """

    port: int
    idle: list[Client] = attrs.field(factory=list)


def make_sender(
    choose: Callable[[Ticket], Pool],
    judge: Judge,
) -> Send:
    """Make the function that sends calls on one path.

    Args:
        choose: Chooses where a call is sent.
        judge: Reads the answer.
    """

    async def send(ticket: Ticket) -> Verdict:
        with trio.move_on_after(PATIENCE_SECONDS):
            try:
                reply = await _ask(choose(ticket), ticket)
            except (ConnectionLost, OSError):
                return Verdict(outcome=Outcome.UNKNOWN)
            return judge(ticket, reply)
        return Verdict(outcome=Outcome.UNKNOWN)

    return send


def judge_direct(ticket: Ticket, reply: Reply) -> Verdict:
    """Read the answer of a backend server.

    Args:
        ticket: The call.
        reply: The answer.
    """
    if reply.headers.get('x-not-run') == 'true':
        return Verdict(outcome=Outcome.NOT_RUN)
    return _read_echo(ticket, reply)


def judge_routed(ticket: Ticket, reply: Reply) -> Verdict:
    """Read the answer of an entry host.

    Args:
        ticket: The call.
        reply: The answer.
    """
    told = reply.headers.get('x-outcome', '')
    outcome = OUTCOMES.get(told, Outcome.UNKNOWN)
    if outcome is Outcome.ANSWERED:
        return _read_echo(ticket, reply)
    return Verdict(outcome=outcome)


async def run_load(
    send: Send,
    jobs: Sequence[Job],
    *,
    rate: float,
    seed: int,
    stop: trio.Event,
    twice_every: int = 0,
) -> list[Sample]:
    """Send calls at random moments until told to stop, then await the rest.

    Args:
        send: The path.
        jobs: The kinds of call.
        rate: Calls per second.
        seed: Seeds the moments and the kinds.
        stop: Set when no further call is to be sent.
        twice_every: One in so many calls is sent twice at once if it has a
            key; 0 for none.
    """
    draws = random.Random(seed)
    shares = [job.share for job in jobs]
    samples: list[Sample] = []
    due = trio.current_time()
    async with trio.open_nursery() as calls:
        while not stop.is_set():
            job = draws.choices(jobs, shares)[0]
            twice = twice_every > 0 and not draws.randrange(twice_every)
            ticket = _make_ticket(job, f'{seed}-{len(samples)}', twice=twice)
            sample = Sample(ticket=ticket, begun=trio.current_time())
            samples.append(sample)
            calls.start_soon(_run_call, send, sample)
            due += draws.expovariate(rate)
            await trio.sleep_until(due)
    return samples


def _make_ticket(job: Job, tag: str, *, twice: bool) -> Ticket:
    if job.once:
        copies = 2 if twice else 1
        return Ticket(job=job, tag=tag, key=str(uuid7()), copies=copies)
    return Ticket(job=job, tag=tag)


async def _run_call(send: Send, sample: Sample) -> None:
    sample.begun = trio.current_time()
    async with trio.open_nursery() as copies:
        for _ in range(sample.ticket.copies):
            copies.start_soon(_send_once, send, sample)
    # The same key again is safe, and tells what a lost answer left open.
    while sample.ticket.key and _is_open(sample):
        await trio.sleep(PAUSE_SECONDS)
        await _send_once(send, sample)
    sample.took_ms = (trio.current_time() - sample.begun) * MS_PER_SECOND


async def _send_once(send: Send, sample: Sample) -> None:
    sample.verdicts.append(await send(sample.ticket))


def _is_open(sample: Sample) -> bool:
    unknown = sample.outcome is Outcome.UNKNOWN
    return unknown and len(sample.verdicts) < MOST_SENDS


async def _ask(pool: Pool, ticket: Ticket) -> Reply:
    client = _take_idle(pool) or await connect(LOOPBACK, pool.port)
    async with AsyncExitStack() as closing:
        closing.push_async_callback(trio.aclose_forcefully, client.stream)
        reply = await fetch(
            client,
            ticket.job.method,
            ticket.job.target,
            headers=_make_headers(ticket),
        )
        if client.usable:
            closing.pop_all()
            pool.idle.append(client)
    return reply


def _take_idle(pool: Pool) -> Client | None:
    while pool.idle:
        client = pool.idle.pop()
        if not client.closed:
            return client
    return None


def _make_headers(ticket: Ticket) -> Mapping[str, str]:
    headers = {
        'x-customer': ticket.job.customer,
        'x-route': ticket.job.route,
        'x-timeout-ms': str(TIMEOUT_MS),
        'x-request-tag': ticket.tag,
    }
    if ticket.key:
        headers['idempotency-key'] = ticket.key
    return headers


def _read_echo(ticket: Ticket, reply: Reply) -> Verdict:
    echo = msgspec.json.decode(reply.body, type=Echo)
    return Verdict(
        outcome=Outcome.ANSWERED,
        server=echo.server,
        crossed=echo.tag != ticket.tag,
    )
