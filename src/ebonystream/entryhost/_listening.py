"""Start of the listeners of an entry host."""

import os
from functools import partial

import trio

from ebonystream._address import ServerAddress
from ebonystream.entryhost._internal_handlers import (
    make_metrics_handler,
    make_readiness_handler,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._request_wiring import make_request_handler
from ebonystream.ingress import (
    HandleConnection,
    bound_unread_bytes,
    serve_listener,
)

METRICS_VARIABLE = 'EBONYSTREAM_METRICS_PORT'
"""Environment variable with the port of the metrics page; no page if unset."""


async def start_listeners(
    parts: HostParts, nursery: trio.Nursery
) -> trio.CancelScope:
    """Start to listen for callers, readiness checks and metrics requests.

    Args:
        parts: The state of the host.
        nursery: Nursery of the listeners and their connections.

    Returns:
        The cancel scope of the listener for callers.
    """
    caller_endpoint = parts.settings.caller_endpoint
    readiness_endpoint = parts.settings.readiness_endpoint
    await _listen(nursery, readiness_endpoint, make_readiness_handler(parts))
    port = os.environ.get(METRICS_VARIABLE)
    if port is not None:
        at = ServerAddress(caller_endpoint.address, int(port))
        await _listen(nursery, at, make_metrics_handler(parts))
    nursery.start_soon(
        bound_unread_bytes, parts.caller_connections, parts.timers
    )
    return await _listen(nursery, caller_endpoint, make_request_handler(parts))


async def _listen(
    nursery: trio.Nursery, at: ServerAddress, handle: HandleConnection
) -> trio.CancelScope:
    scope: trio.CancelScope = await nursery.start(
        partial(serve_listener, at, handle, connection_nursery=nursery)
    )
    return scope
