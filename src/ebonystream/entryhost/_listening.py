"""Opens the addresses of an entry host."""

import os
from functools import partial

import trio

from ebonystream._address import ServerAddress
from ebonystream.entryhost._callers import (
    make_metrics_handler,
    make_readiness_handler,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._path import make_request_handler
from ebonystream.ingress import HandleConnection, serve_listener

METRICS_VARIABLE = 'EBONYSTREAM_METRICS_PORT'
"""The environment variable that tells where the metrics are shown."""


async def open_addresses(
    parts: HostParts, nursery: trio.Nursery
) -> trio.CancelScope:
    """Listen for callers, and for who asks about this host.

    Args:
        parts: The state of the host.
        nursery: Where the connections run.

    Returns:
        What ends the listening for callers.
    """
    callers = parts.settings.callers
    readiness = parts.settings.readiness
    await _listen(nursery, readiness, make_readiness_handler(parts))
    port = os.environ.get(METRICS_VARIABLE)
    if port is not None:
        at = ServerAddress(callers.address, int(port))
        await _listen(nursery, at, make_metrics_handler(parts))
    return await _listen(nursery, callers, make_request_handler(parts))


async def _listen(
    nursery: trio.Nursery, at: ServerAddress, handle: HandleConnection
) -> trio.CancelScope:
    scope: trio.CancelScope = await nursery.start(
        partial(serve_listener, at, handle, connection_nursery=nursery)
    )
    return scope
