"""The routes of the administration API."""

import hmac
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from ebonystream._ids import MoveId
from ebonystream.admin._handlers import Sent
from ebonystream.admin._openapi import (
    DESCRIPTION_PATH,
    METRICS_PATH,
    describe_api,
)
from ebonystream.admin._operations import OPERATIONS, Operation
from ebonystream.admin._verbs import AdminVerbs
from ebonystream.call import CallResponse, make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind

BEARER = 'Bearer '
JSON_TYPE = 'application/json'

HTTP_KINDS: Mapping[HTTPStatus, ErrorKind] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED: ErrorKind.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
        HTTPStatus.REQUEST_TIMEOUT: ErrorKind.SLOW_SENDER,
    }
)


def make_admin_app(verbs: AdminVerbs, *, key: str | None) -> QuartTrio:
    """Make the administration API.

    Args:
        verbs: What it can do.
        key: The key that each request must carry, if any.
    """
    app = QuartTrio('ebonystream.admin', static_folder=None)
    _require_key(app, key)
    _answer_errors(app)
    for operation in OPERATIONS:
        app.add_url_rule(
            operation.path.replace('{move}', '<move>'),
            endpoint=f'{operation.method.value} {operation.path}',
            view_func=_make_view(operation, verbs),
            methods=[operation.method.value.upper()],
        )
    described = msgspec.json.encode(describe_api(OPERATIONS))

    @app.get(DESCRIPTION_PATH)
    async def describe() -> Response:
        return Response(described, content_type=JSON_TYPE)

    @app.get(METRICS_PATH)
    async def show_metrics() -> Response:
        text, content_type = verbs.metrics.page.render()
        return Response(text, content_type=content_type)

    return app


def _require_key(app: QuartTrio, key: str | None) -> None:
    wanted = None if key is None else key.encode()

    @app.before_request
    async def check_key() -> None:
        sent = request.headers.get('authorization', '').removeprefix(BEARER)
        if wanted is None:
            return
        if not hmac.compare_digest(sent.encode('latin-1'), wanted):
            raise EbonystreamError(ErrorKind.UNAUTHORIZED)


def _answer_errors(app: QuartTrio) -> None:
    @app.errorhandler(EbonystreamError)
    async def answer_error(error: EbonystreamError) -> Response:
        return _spell(make_error_response(error))

    @app.errorhandler(HTTPException)
    async def answer_http(error: HTTPException) -> Response:
        status = HTTPStatus(error.code or HTTPStatus.INTERNAL_SERVER_ERROR)
        kind = HTTP_KINDS.get(status, ErrorKind.MALFORMED_REQUEST)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = ErrorKind.INTERNAL
        detail = f'{request.method} {request.path}'
        return _spell(make_error_response(EbonystreamError(kind, detail)))


def _make_view(
    operation: Operation, verbs: AdminVerbs
) -> Callable[..., Awaitable[Response]]:
    async def view(move: str = '') -> Response:
        body = await request.body
        sent = Sent(body, MoveId(move))
        answer = await operation.handle(verbs, sent)
        return Response(msgspec.json.encode(answer), content_type=JSON_TYPE)

    return view


def _spell(answer: CallResponse) -> Response:
    return Response(answer.body, status=answer.status, content_type=JSON_TYPE)
