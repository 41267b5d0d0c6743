"""What answers on a host's addresses: requests, readiness and metrics."""

from collections.abc import Awaitable, Callable
from functools import partial
from importlib import import_module

import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch import HandleRequest
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import make_shared_handler
from ebonystream.http1 import Message, ReaderLimits, encode_response
from ebonystream.ingress import (
    CallerPresence,
    ConnectionLimits,
    EncodedResponse,
    HandleConnection,
    OpenConnections,
    Respond,
    serve_connection,
)
from ebonystream.request import (
    MessageCodec,
    Request,
    Response,
    make_error_response,
)

PAGE_MODULE = 'ebonystream.entryhost._page'
"""Makes the page of metrics."""

OK = 200
NOT_READY = 503
READINESS_LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=8192, body_bytes=8192),
    receive_timeout=Seconds(2),
    idle_timeout=Seconds(30),
)
EARLY_LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=16_384, body_bytes=1_048_576),
    receive_timeout=Seconds(3),
    idle_timeout=Seconds(15),
)
"""What may be sent before a configuration says so."""


def make_caller_handler(
    parts: HostParts, serve: HandleRequest, dialect: MessageCodec
) -> HandleConnection:
    """Make the function that serves one caller's connection.

    Args:
        parts: The state of the host.
        serve: Answers a request.
        dialect: Translates messages.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        request = dialect.decode_request(message, arrived)
        try:
            response = await _serve_checked(request, presence, serve)
        except Exception as error:
            parts.note('internal_error', id=request.attempt_id, why=repr(error))
            raise
        _note_response(parts, request, response)
        close = parts.connections.close_after_response or not message.keep_alive
        close = close or response.close
        return EncodedResponse(dialect.encode_response(response, close), close)

    def refuse(error: EbonystreamError) -> bytes:
        parts.note('request_refused', error=error.kind.value, why=error.detail)
        return dialect.encode_response(make_error_response(error), True)

    async def handle(stream: trio.SocketStream) -> None:
        await _handle_logged(
            parts,
            partial(
                serve_connection,
                stream,
                respond=respond,
                encode_error=refuse,
                limits=_get_limits(parts),
                timers=parts.timers,
                connections=parts.connections,
            ),
        )

    return handle


def make_readiness_handler(parts: HostParts) -> HandleConnection:
    """Make the function that tells on a connection whether the host is ready.

    Args:
        parts: The state of the host.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        await trio.lowlevel.checkpoint()
        status = OK if parts.is_ready() else NOT_READY
        close = not message.keep_alive
        headers = ((b'connection', b'close'),) if close else ()
        return EncodedResponse(encode_response(status, headers, b''), close)

    return _make_plain_handler(parts, respond)


def make_metrics_handler(parts: HostParts) -> HandleConnection:
    """Make the function that shows the metrics on a connection.

    Args:
        parts: The state of the host.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        # Loaded beside the requests: its libraries take time and memory.
        made = await trio.to_thread.run_sync(import_module, PAGE_MODULE)
        text, content_type = made.make_page(parts).render()
        close = not message.keep_alive
        headers = [(b'content-type', content_type.encode())]
        if close:
            headers.append((b'connection', b'close'))
        return EncodedResponse(encode_response(OK, headers, text), close)

    return _make_plain_handler(parts, respond)


def make_sharing_handler(parts: HostParts) -> HandleConnection:
    """Make the function that tells other hosts what this one knows.

    Args:
        parts: The state of the host.
    """
    return _make_plain_handler(
        parts,
        make_shared_handler(
            orders=parts.orders,
            roster=parts.roster,
            source=parts.incarnation,
            timers=parts.timers,
        ),
    )


def _make_plain_handler(parts: HostParts, respond: Respond) -> HandleConnection:
    connections = OpenConnections()

    async def handle(stream: trio.SocketStream) -> None:
        await _handle_logged(
            parts,
            partial(
                serve_connection,
                stream,
                respond=respond,
                encode_error=_refuse_plainly,
                limits=READINESS_LIMITS,
                timers=parts.timers,
                connections=connections,
            ),
        )

    return handle


async def _handle_logged(
    parts: HostParts, serve: Callable[[], Awaitable[None]]
) -> None:
    """Serve a connection; what goes wrong there ends no other connection."""
    try:
        await serve()
    except Exception as error:
        parts.note('connection_failed', why=repr(error))


async def _serve_checked(
    request: Request, presence: CallerPresence, serve: HandleRequest
) -> Response:
    if not (request.host and request.path.startswith('/')):
        return make_error_response(
            EbonystreamError(ErrorKind.MALFORMED_REQUEST, 'host or path'),
            close=True,
        )
    return await serve(request, presence)


def _get_limits(parts: HostParts) -> ConnectionLimits:
    configuration = parts.orders.configuration
    if configuration is None:
        return EARLY_LIMITS
    limits = configuration.limits
    return ConnectionLimits(
        message=ReaderLimits(
            head_bytes=limits.head_bytes, body_bytes=limits.body_bytes
        ),
        receive_timeout=limits.receive,
        idle_timeout=limits.idle,
    )


def _note_response(
    parts: HostParts, request: Request, response: Response
) -> None:
    orders = parts.orders
    configuration = orders.configuration
    parts.note(
        'answered',
        id=request.attempt_id,
        status=response.status,
        error=response.error.value if response.error else None,
        took_ms=round((parts.timers.now() - request.arrived_at) * 1000, 1),
        retry_after=response.retry_after,
        given_ms=_find_given(request),
        configuration=configuration.version if configuration else None,
    )


def _find_given(request: Request) -> float | None:
    """Find how long the caller said that it waits, in milliseconds."""
    if request.deadline is None:
        return None
    return round((request.deadline - request.arrived_at) * 1000, 1)


def _refuse_plainly(error: EbonystreamError) -> bytes:
    headers = ((b'connection', b'close'),)
    return encode_response(error.answer.status, headers, b'')
