"""Wiring of the health probes of backend servers."""

from ebonystream._ids import (
    CustomerId,
    Monotonic,
    RouteName,
    Seconds,
)
from ebonystream._timers import Timers
from ebonystream.backend import Attempt, BackendServer, Observe
from ebonystream.call import Call, CallKind
from ebonystream.composition._parts import Parts
from ebonystream.probe import Prober, probe_forever
from ebonystream.upstream import make_sender

PROBE_TIMEOUT = Seconds(1)
HEALTH_TARGET = '/-/health'


def make_response_observer(prober: Prober, timers: Timers) -> Observe:
    """Make the observer that records when servers respond to calls.

    Args:
        prober: Where the responses are recorded.
        timers: Source of the current time.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        if attempt.response is not None:
            prober.record_response(server.id, timers.now())

    return observe


async def probe_servers(parts: Parts) -> None:
    """Probe backend servers; runs until cancelled.

    Args:
        parts: The parts of this host.
    """
    send = make_sender(pool=parts.server_pool, timers=parts.timers)

    async def probe(server: BackendServer) -> None:
        now = parts.timers.now()
        attempt = await send(_make_probe_call(server, now), server)
        if attempt.response is None:
            server.relative_latency.record_failure(parts.timers.now())

    await probe_forever(parts.policy.prober, probe, parts.timers)


def _make_probe_call(server: BackendServer, now: Monotonic) -> Call:
    return Call(
        customer=CustomerId('-'),
        route=RouteName('-'),
        service=server.service,
        kind=CallKind.IDEMPOTENT,
        method='GET',
        target=HEALTH_TARGET,
        headers=(),
        body=b'',
        deadline=Monotonic(now + PROBE_TIMEOUT),
    )
