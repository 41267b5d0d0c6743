"""Probe several servers concurrently until one result is sufficient."""

from collections.abc import Callable, Iterable

import trio

from ebonystream._ids import Seconds
from ebonystream.placement._asking import Ask
from ebonystream.placement._offer import Sighting
from ebonystream.roster import KnownServer

SURVEY_TIMEOUT = Seconds(0.012)
"""Upper bound on the wait for the results of one batch."""

IsEnough = Callable[[Sighting], bool]


async def survey_servers(
    servers: Iterable[KnownServer],
    *,
    ask: Ask,
    is_enough: IsEnough,
    background: trio.Nursery,
) -> list[Sighting]:
    """Probe servers and return the results in order of arrival.

    Probes that are still pending at the end complete in the background, so
    that their connections can be reused.

    Args:
        servers: Servers to probe.
        ask: Probes one server.
        is_enough: Returns whether a result ends the batch.
        background: Nursery in which the probes run.
    """
    targets = tuple(servers)
    sender, receiver = trio.open_memory_channel[Sighting](len(targets))
    for server in targets:
        background.start_soon(_send_result, ask, server, sender.clone())
    sender.close()
    results: list[Sighting] = []
    with trio.move_on_after(SURVEY_TIMEOUT):
        async for result in receiver:
            results.append(result)
            if is_enough(result):
                break
    return results


async def _send_result(
    ask: Ask, server: KnownServer, sender: trio.MemorySendChannel[Sighting]
) -> None:
    with sender:
        sender.send_nowait(await ask(server))
