"""The web application of the administration API."""

import hmac
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType

import msgspec
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from ebonystream._ids import MoveId
from ebonystream.admin._functions import AdminFunctions
from ebonystream.admin._handlers import OperatorRequest
from ebonystream.admin._openapi import (
    DESCRIPTION_PATH,
    METRICS_PATH,
    describe_api,
)
from ebonystream.admin._operations import OPERATIONS, Operation
from ebonystream.call import CallResponse, make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind

BEARER = 'Bearer '
JSON_TYPE = 'application/json'

KINDS_BY_STATUS: Mapping[HTTPStatus, ErrorKind] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED: ErrorKind.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
        HTTPStatus.REQUEST_TIMEOUT: ErrorKind.SLOW_SENDER,
    }
)


def make_admin_app(functions: AdminFunctions, *, key: str | None) -> QuartTrio:
    """Make the administration API.

    Args:
        functions: Functions that carry out the operations.
        key: Key that each request must carry; None to require none.
    """
    app = QuartTrio('ebonystream.admin', static_folder=None)
    _require_key(app, key)
    _register_error_handlers(app)
    for operation in OPERATIONS:
        app.add_url_rule(
            operation.path.replace('{move}', '<move>'),
            endpoint=f'{operation.method.value} {operation.path}',
            view_func=_make_view(operation, functions),
            methods=[operation.method.value.upper()],
        )
    description = msgspec.json.encode(describe_api(OPERATIONS))

    @app.get(DESCRIPTION_PATH)
    async def describe() -> Response:
        return Response(description, content_type=JSON_TYPE)

    @app.get(METRICS_PATH)
    async def show_metrics() -> Response:
        text, content_type = functions.metrics.page.render()
        return Response(text, content_type=content_type)

    return app


def _require_key(app: QuartTrio, key: str | None) -> None:
    expected_key = None if key is None else key.encode()

    @app.before_request
    async def check_key() -> None:
        given_key = request.headers.get('authorization', '').removeprefix(
            BEARER
        )
        if expected_key is None:
            return
        if not hmac.compare_digest(given_key.encode('latin-1'), expected_key):
            raise EbonystreamError(ErrorKind.UNAUTHORIZED)


def _register_error_handlers(app: QuartTrio) -> None:
    @app.errorhandler(EbonystreamError)
    async def handle_error(error: EbonystreamError) -> Response:
        return _make_response(make_error_response(error))

    @app.errorhandler(HTTPException)
    async def handle_http_error(error: HTTPException) -> Response:
        status = HTTPStatus(error.code or HTTPStatus.INTERNAL_SERVER_ERROR)
        kind = KINDS_BY_STATUS.get(status, ErrorKind.MALFORMED_REQUEST)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = ErrorKind.INTERNAL
        detail = f'{request.method} {request.path}'
        return _make_response(
            make_error_response(EbonystreamError(kind, detail))
        )


def _make_view(
    operation: Operation, functions: AdminFunctions
) -> Callable[..., Awaitable[Response]]:
    async def view(move: str = '') -> Response:
        request_body = await request.body
        operator_request = OperatorRequest(request_body, MoveId(move))
        response = await operation.handle(functions, operator_request)
        return Response(msgspec.json.encode(response), content_type=JSON_TYPE)

    return view


def _make_response(response: CallResponse) -> Response:
    return Response(
        response.body, status=response.status, content_type=JSON_TYPE
    )
