"""Bounds on what clients of the administration API make a host hold.

The load that this addresses: clients that each send a body just short of its
end, so that the server, which reads bodies for as many requests as are open,
holds all of them.
"""

from http import HTTPStatus

import trio
from hypercorn.typing import (
    ASGIFramework,
    ASGIReceiveCallable,
    ASGISendCallable,
    HTTPResponseBodyEvent,
    HTTPResponseStartEvent,
    Scope,
)

from ebonystream.call import make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind

BODY_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
RETRY_AFTER_HEADER = (b'retry-after', b'1')


def make_bounded_app(app: ASGIFramework, *, max_bodies: int) -> ASGIFramework:
    """Bound the requests with a body that an application handles at a time.

    Args:
        app: The application.
        max_bodies: Maximum number of requests with a body; others get 503.
    """
    limiter = trio.CapacityLimiter(max_bodies)

    async def handle(
        scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        if not _has_body(scope):
            await app(scope, receive, send)
            return
        if limiter.available_tokens < 1:
            await _refuse(send)
            return
        async with limiter:
            await app(scope, receive, send)

    return handle


def _has_body(scope: Scope) -> bool:
    if scope['type'] != 'http':
        return False
    return any(name in BODY_HEADERS for name, _ in scope['headers'])


async def _refuse(send: ASGISendCallable) -> None:
    response = make_error_response(EbonystreamError(ErrorKind.MEMORY_SHORT))
    headers = [*response.headers, RETRY_AFTER_HEADER, (b'connection', b'close')]
    await send(
        HTTPResponseStartEvent(
            type='http.response.start',
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=headers,
            trailers=False,
        )
    )
    await send(
        HTTPResponseBodyEvent(
            type='http.response.body', body=response.body, more_body=False
        )
    )
