"""Asking several servers at once, until one answer is good enough."""

from collections.abc import Callable, Iterable

import trio

from ebonystream._ids import Seconds
from ebonystream.placement._asking import Ask
from ebonystream.placement._offer import Sighting
from ebonystream.roster import KnownServer

SURVEY_TIMEOUT = Seconds(0.012)
"""How long the slowest of several answers is waited for."""

IsEnough = Callable[[Sighting], bool]


async def survey_servers(
    servers: Iterable[KnownServer],
    *,
    ask: Ask,
    is_enough: IsEnough,
    background: trio.Nursery,
) -> list[Sighting]:
    """Ask servers, and give what they said in the order of their answers.

    Questions that are not waited for any longer end in the background, so
    that their connections stay in use.

    Args:
        servers: Whom to ask.
        ask: Asks one.
        is_enough: Tells whether an answer ends the survey.
        background: Where the questions run.
    """
    chosen = tuple(servers)
    into, answers = trio.open_memory_channel[Sighting](len(chosen))
    for server in chosen:
        background.start_soon(_ask_into, ask, server, into.clone())
    into.close()
    sightings: list[Sighting] = []
    with trio.move_on_after(SURVEY_TIMEOUT):
        async for sighting in answers:
            sightings.append(sighting)
            if is_enough(sighting):
                break
    return sightings


async def _ask_into(
    ask: Ask, server: KnownServer, into: trio.MemorySendChannel[Sighting]
) -> None:
    with into:
        into.send_nowait(await ask(server))
