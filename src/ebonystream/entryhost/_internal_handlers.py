"""Handlers of connections for readiness, metrics and other hosts."""

from functools import partial
from importlib import import_module

import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._client_limits import (
    compute_connection_shares,
)
from ebonystream.entryhost._connections import serve_logged
from ebonystream.entryhost._explain_page import (
    is_explain_request,
    respond_explanation,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._usage_tasks import accept_counts
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import make_shared_handler
from ebonystream.http1 import Message, ReaderLimits, encode_response
from ebonystream.ingress import (
    CallerPresence,
    ConnectionLimits,
    EncodedResponse,
    HandleConnection,
    MemoryBudget,
    OpenConnections,
    Respond,
    serve_connection,
)

METRICS_PAGE_MODULE = 'ebonystream.entryhost._page'
"""Module of the metrics page; imported only on the first request for it."""

OK = 200
SERVICE_UNAVAILABLE = 503
INTERNAL_LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=8192, body_bytes=8192),
    receive_timeout=Seconds(2),
    idle_timeout=Seconds(30),
)
"""Limits of connections for readiness checks, metrics and shared state."""


INTERNAL_CONNECTION_BYTES = 65_536
"""Memory that each of these connections may take on average."""


def make_readiness_handler(parts: HostParts) -> HandleConnection:
    """Return the handler of requests for the readiness of this host.

    Args:
        parts: The state of the host.
    """

    async def respond(
        message: Message, arrived_at: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        await trio.lowlevel.checkpoint()
        status = OK if parts.is_ready() else SERVICE_UNAVAILABLE
        close = not message.keep_alive
        headers = ((b'connection', b'close'),) if close else ()
        return EncodedResponse(encode_response(status, headers, b''), close)

    shares = compute_connection_shares(parts.settings.limits)
    return _make_internal_handler(parts, respond, limit=shares.readiness)


def make_metrics_handler(parts: HostParts) -> HandleConnection:
    """Return the handler of requests for the metrics page.

    It also explains where a request would go.

    Args:
        parts: The state of the host.
    """

    async def respond(
        message: Message, arrived_at: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        if is_explain_request(message):
            await trio.lowlevel.checkpoint()
            return respond_explanation(parts, message)
        # Imported in a thread, as its libraries take time to load, and only
        # on request, as they take memory.
        page_module = await trio.to_thread.run_sync(
            import_module, METRICS_PAGE_MODULE
        )
        text, content_type = page_module.make_page(parts).render()
        close = not message.keep_alive
        headers = [(b'content-type', content_type.encode())]
        if close:
            headers.append((b'connection', b'close'))
        return EncodedResponse(encode_response(OK, headers, text), close)

    shares = compute_connection_shares(parts.settings.limits)
    return _make_internal_handler(parts, respond, limit=shares.metrics)


def make_sharing_handler(parts: HostParts) -> HandleConnection:
    """Return the handler of requests of other hosts.

    They ask for shared state, or send their counts of requests.

    Args:
        parts: The state of the host.
    """
    respond = make_shared_handler(
        orders=parts.orders,
        roster=parts.roster,
        source=parts.incarnation,
        timers=parts.timers,
    )
    return _make_internal_handler(
        parts,
        accept_counts(parts, respond),
        limit=compute_connection_shares(parts.settings.limits).peers,
    )


def _make_internal_handler(
    parts: HostParts, respond: Respond, *, limit: int
) -> HandleConnection:
    # A budget of their own, so that the callers leave room for them.
    connections = OpenConnections(
        limit=limit, budget=MemoryBudget(limit * INTERNAL_CONNECTION_BYTES)
    )

    async def handle(stream: trio.SocketStream) -> None:
        await serve_logged(
            parts,
            partial(
                serve_connection,
                stream,
                respond=respond,
                encode_error=_encode_empty_error,
                limits=INTERNAL_LIMITS,
                timers=parts.timers,
                connections=connections,
            ),
        )

    return handle


def _encode_empty_error(error: EbonystreamError) -> bytes:
    headers = ((b'connection', b'close'),)
    return encode_response(error.answer.status, headers, b'')
