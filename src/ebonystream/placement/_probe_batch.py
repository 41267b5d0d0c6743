"""Asking several servers at once, until one answer is good enough."""

from collections.abc import Callable, Iterable

import trio

from ebonystream._ids import Seconds
from ebonystream.placement._probe import Probe
from ebonystream.placement._results import ProbeResult
from ebonystream.roster import KnownServer

PROBE_BATCH_TIMEOUT = Seconds(0.012)
"""How long the slowest of several answers is waited for."""

IsSufficient = Callable[[ProbeResult], bool]


async def probe_servers(
    servers: Iterable[KnownServer],
    *,
    probe: Probe,
    is_sufficient: IsSufficient,
    background: trio.Nursery,
) -> list[ProbeResult]:
    """Ask servers, and give what they said in the order of their answers.

    Questions that are not waited for any longer end in the background, so
    that their connections stay in use.

    Args:
        servers: Whom to ask.
        probe: Asks one.
        is_sufficient: Tells whether an answer ends the survey.
        background: Where the questions run.
    """
    chosen = tuple(servers)
    into, answers = trio.open_memory_channel[ProbeResult](len(chosen))
    for server in chosen:
        background.start_soon(_ask_into, probe, server, into.clone())
    into.close()
    sightings: list[ProbeResult] = []
    with trio.move_on_after(PROBE_BATCH_TIMEOUT):
        async for sighting in answers:
            sightings.append(sighting)
            if is_sufficient(sighting):
                break
    return sightings


async def _ask_into(
    ask: Probe, server: KnownServer, into: trio.MemorySendChannel[ProbeResult]
) -> None:
    with into:
        into.send_nowait(await ask(server))
