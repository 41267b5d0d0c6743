"""Wires the control stream: reading it, keeping it, and what hangs on it."""

from random import Random

import trio

from ebonystream.composition._confirmations import list_confirmations
from ebonystream.composition._moves import (
    finish_moves,
    judge_moves,
    watch_returns,
)
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.composition._tasks import tail_control
from ebonystream.configuration import (
    mark_caught_up_with_peers,
    write_checkpoints,
)

PATIENCE_SILENCES = 2
"""How often the silence that makes a peer unreachable has to pass until a
host that starts without the log no longer waits for it."""


async def keep_control(parts: Parts) -> None:
    """Follow the control stream and keep it, for ever."""
    watch_returns(parts)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tail_control, parts)
        nursery.start_soon(finish_moves, parts)
        nursery.start_soon(judge_moves, parts)
        nursery.start_soon(keep_checkpoints, parts)
        nursery.start_soon(settle_start, parts)


async def settle_start(parts: Parts) -> None:
    """Let a start without the log end once all peers were heard, for ever."""
    silence_ms = parts.settings.peers.unreachable_after_ms
    await mark_caught_up_with_peers(
        control=parts.control,
        own_host=parts.settings.host.id,
        list_confirmations=lambda: list_confirmations(parts),
        peer_timeout=convert_ms(PATIENCE_SILENCES * silence_ms),
        timers=parts.timers,
    )


async def keep_checkpoints(parts: Parts) -> None:
    """Write the state to the log again before it expires, for ever."""
    settings = parts.settings.log
    await write_checkpoints(
        control=parts.control,
        log=parts.log,
        stream=settings.control_stream,
        retention=convert_ms(settings.retention_ms),
        timers=parts.timers,
        random=Random(parts.incarnation),
    )
