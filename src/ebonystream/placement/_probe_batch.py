"""Probe several servers concurrently until one result is sufficient."""

from collections.abc import Callable, Iterable

import trio

from ebonystream._ids import Seconds
from ebonystream.placement._probe import Probe
from ebonystream.placement._results import ProbeResult
from ebonystream.roster import KnownServer

PROBE_BATCH_TIMEOUT = Seconds(0.012)
"""Upper bound on the wait for the results of one batch."""

IsSufficient = Callable[[ProbeResult], bool]


async def probe_servers(
    servers: Iterable[KnownServer],
    *,
    probe: Probe,
    is_sufficient: IsSufficient,
    background: trio.Nursery,
) -> list[ProbeResult]:
    """Probe servers and return the results in order of arrival.

    Probes that are still pending at the end complete in the background, so
    that their connections can be reused.

    Args:
        servers: Servers to probe.
        probe: Probes one server.
        is_sufficient: Returns whether a result ends the batch.
        background: Nursery in which the probes run.
    """
    targets = tuple(servers)
    sender, receiver = trio.open_memory_channel[ProbeResult](len(targets))
    for server in targets:
        background.start_soon(_send_result, probe, server, sender.clone())
    sender.close()
    results: list[ProbeResult] = []
    with trio.move_on_after(PROBE_BATCH_TIMEOUT):
        async for result in receiver:
            results.append(result)
            if is_sufficient(result):
                break
    return results


async def _send_result(
    probe: Probe,
    server: KnownServer,
    sender: trio.MemorySendChannel[ProbeResult],
) -> None:
    with sender:
        sender.send_nowait(await probe(server))
