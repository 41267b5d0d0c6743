"""Handler of the connections of callers."""

from functools import partial

import trio

from ebonystream._calls import CallKind
from ebonystream._ids import ConfigurationVersion, Monotonic, Seconds
from ebonystream.dispatch import HandleRequest
from ebonystream.entryhost._connections import serve_logged
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._proof_wait import WaitForProof, return_at_once
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import Message, ReaderLimits
from ebonystream.ingress import (
    CallerPresence,
    ConnectionLimits,
    EncodedResponse,
    HandleConnection,
    serve_connection,
)
from ebonystream.request import (
    MessageCodec,
    Request,
    Response,
    make_error_response,
)
from ebonystream.route import match_route

LEAVING_RETRY_AFTER = Seconds(0.05)
"""Delay after which a caller may try another host, in seconds."""

MEMORY_RETRY_AFTER = Seconds(1)
"""Delay after which the memory of other requests may be free, in seconds."""

INITIAL_LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=16_384, body_bytes=1_048_576),
    receive_timeout=Seconds(3),
    idle_timeout=Seconds(15),
)
"""Limits of callers' connections until a configuration has been read."""


def make_caller_handler(
    parts: HostParts,
    handle_request: HandleRequest,
    codec: MessageCodec,
    wait_for_proof: WaitForProof = return_at_once,
) -> HandleConnection:
    """Return the function that serves a caller's connection.

    Args:
        parts: The state of the host.
        handle_request: Handles one request.
        codec: Encodes and decodes messages.
        wait_for_proof: Waits until the orders are proven, for a bounded time.
    """

    async def respond(
        message: Message, arrived_at: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        request = codec.decode_request(message, arrived_at)
        await wait_for_proof()
        routed_by = _get_version(parts)
        try:
            response = await _handle_checked(
                parts, request, presence, handle_request
            )
        except Exception as error:
            parts.log_event(
                'internal_error', id=request.attempt_id, why=repr(error)
            )
            # A server may be running it, so its outcome is unknown.
            response = make_error_response(
                EbonystreamError(ErrorKind.INTERNAL), close=True
            )
        _log_response(parts, request, response, routed_by)
        close = (
            parts.caller_connections.close_after_response
            or not message.keep_alive
        )
        close = (close or response.close) and not presence.has_followers
        return EncodedResponse(codec.encode_response(response, close), close)

    def encode_error(error: EbonystreamError) -> bytes:
        parts.log_event(
            'request_refused', error=error.kind.value, why=error.detail
        )
        retry_after = None
        if error.kind is ErrorKind.MEMORY_SHORT:
            retry_after = MEMORY_RETRY_AFTER
        response = make_error_response(error, retry_after=retry_after)
        return codec.encode_response(response, True)

    async def handle(stream: trio.SocketStream) -> None:
        await serve_logged(
            parts,
            partial(
                serve_connection,
                stream,
                respond=respond,
                encode_error=encode_error,
                limits=_get_limits(parts, codec),
                timers=parts.timers,
                connections=parts.caller_connections,
            ),
        )

    return handle


def _is_idempotent(
    parts: HostParts, codec: MessageCodec, message: Message
) -> bool:
    """Return whether a request matches a route of idempotent requests."""
    configuration = parts.orders.configuration
    if configuration is None:
        return False
    request = codec.decode_request(message, parts.timers.now())
    route = match_route(configuration, host=request.host, path=request.path)
    return route is not None and route.kind is CallKind.IDEMPOTENT


async def _handle_checked(
    parts: HostParts,
    request: Request,
    presence: CallerPresence,
    handle_request: HandleRequest,
) -> Response:
    if not (request.host and request.path.startswith('/')):
        return make_error_response(
            EbonystreamError(ErrorKind.MALFORMED_REQUEST, 'host or path'),
            close=True,
        )
    if parts.caller_connections.close_when_idle:
        # It was received slowly, and might be cut off at a server.
        return make_error_response(
            EbonystreamError(ErrorKind.LEAVING),
            retry_after=LEAVING_RETRY_AFTER,
            close=True,
        )
    return await handle_request(request, presence)


def _get_limits(parts: HostParts, codec: MessageCodec) -> ConnectionLimits:
    configuration = parts.orders.configuration
    if configuration is None:
        return INITIAL_LIMITS
    limits = configuration.limits
    return ConnectionLimits(
        message=ReaderLimits(
            head_bytes=limits.head_bytes, body_bytes=limits.body_bytes
        ),
        receive_timeout=limits.receive,
        idle_timeout=limits.idle,
        may_overlap=partial(_is_idempotent, parts, codec),
    )


def _get_version(parts: HostParts) -> ConfigurationVersion | None:
    """Return the version of the configuration in force; None without one."""
    configuration = parts.orders.configuration
    return configuration.version if configuration else None


def _log_response(
    parts: HostParts,
    request: Request,
    response: Response,
    routed_by: ConfigurationVersion | None,
) -> None:
    parts.log_event(
        'answered',
        id=request.attempt_id,
        status=response.status,
        error=response.error.value if response.error else None,
        took_ms=round((parts.timers.now() - request.arrived_at) * 1000, 1),
        retry_after=response.retry_after,
        given_ms=_get_timeout_ms(request),
        configuration=routed_by,
        **_describe_newer(routed_by, _get_version(parts)),
    )


def _describe_newer(
    routed_by: ConfigurationVersion | None, now: ConfigurationVersion | None
) -> dict[str, ConfigurationVersion | None]:
    """Describe the version in force now if it did not route the request."""
    return {} if now == routed_by else {'configuration_now': now}


def _get_timeout_ms(request: Request) -> float | None:
    """Return the timeout that the caller sent, in milliseconds."""
    if request.deadline is None:
        return None
    return round((request.deadline - request.arrived_at) * 1000, 1)
