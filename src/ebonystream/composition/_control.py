"""Wiring of the tasks that read the control stream, write to it or use it."""

from random import Random

import trio

from ebonystream.composition._confirmations import list_confirmations
from ebonystream.composition._moves import (
    mark_returned_zones_cold,
    run_version_moves,
    run_zone_moves,
)
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.composition._tasks import tail_control
from ebonystream.configuration import (
    mark_caught_up_with_peers,
    write_checkpoints,
)

PEER_WAIT_FACTOR = 2
"""How long a host that starts without the log waits for a silent peer, as a
multiple of the silence after which a peer is unreachable."""


async def run_control_tasks(parts: Parts) -> None:
    """Run the tasks on the control stream until cancelled."""
    mark_returned_zones_cold(parts)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tail_control, parts)
        nursery.start_soon(run_zone_moves, parts)
        nursery.start_soon(run_version_moves, parts)
        nursery.start_soon(maintain_checkpoints, parts)
        nursery.start_soon(catch_up_without_log, parts)


async def catch_up_without_log(parts: Parts) -> None:
    """Catch up with the peers without the log; runs until cancelled."""
    unreachable_after_ms = parts.settings.peers.unreachable_after_ms
    await mark_caught_up_with_peers(
        control=parts.control,
        own_host=parts.settings.host.id,
        list_confirmations=lambda: list_confirmations(parts),
        peer_timeout=convert_ms(PEER_WAIT_FACTOR * unreachable_after_ms),
        timers=parts.timers,
    )


async def maintain_checkpoints(parts: Parts) -> None:
    """Write checkpoints of the control state; runs until cancelled.

    The state is written to the log again before the log's retention expires it.
    """
    settings = parts.settings.log
    await write_checkpoints(
        control=parts.control,
        log=parts.log,
        stream=settings.control_stream,
        retention=convert_ms(settings.retention_ms),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
