"""Table of operations, from which routes and API description are made."""

import enum

import attrs
import msgspec

from ebonystream.admin import _handlers as handlers
from ebonystream.admin._bodies import (
    Body,
    PublishBody,
    TakeBackBody,
    VersionMoveBody,
    ZoneMoveBody,
)
from ebonystream.admin._responses import (
    BackendStatuses,
    HostStatuses,
    ListsInForce,
    MoveReports,
    PublishedVersion,
    Status,
    VersionStatuses,
)
from ebonystream.errors import ErrorKind
from ebonystream.move import MoveReport

MOVE_PATH = '/v1/moves/{move}'
LISTS_PATH = '/v1/lists'

WRITE_ERRORS = (ErrorKind.MALFORMED_REQUEST, ErrorKind.LOG_UNAVAILABLE)


class Method(enum.Enum):
    """The HTTP methods of the API."""

    GET = 'get'
    POST = 'post'


@attrs.frozen
class Operation:
    """One operation of the API.

    Attributes:
        method: HTTP method.
        path: Path, with parameters in braces.
        handle: Handler; its docstring is the summary in the API description.
        response: Type of the response body.
        body: Type of the request body; None if there is none.
        errors: Kinds of errors that it may return, besides a wrong key.
    """

    method: Method
    path: str
    handle: handlers.Handler
    response: type[msgspec.Struct]
    body: type[Body] | None = None
    errors: tuple[ErrorKind, ...] = ()


def _make_read(
    path: str, handle: handlers.Handler, response: type[msgspec.Struct]
) -> Operation:
    return Operation(Method.GET, path, handle, response)


def _make_move_request(
    path: str, handle: handlers.Handler, body: type[Body], *errors: ErrorKind
) -> Operation:
    return Operation(
        Method.POST,
        path,
        handle,
        MoveReport,
        body=body,
        errors=(*WRITE_ERRORS, ErrorKind.MOVE_REJECTED, *errors),
    )


OPERATIONS = (
    _make_read(LISTS_PATH, handlers.show_lists, ListsInForce),
    Operation(
        Method.POST,
        LISTS_PATH,
        handlers.publish_lists,
        PublishedVersion,
        body=PublishBody,
        errors=(*WRITE_ERRORS, ErrorKind.PUBLISH_REJECTED),
    ),
    _make_read('/v1/moves', handlers.list_moves, MoveReports),
    Operation(
        Method.GET,
        MOVE_PATH,
        handlers.report_move,
        MoveReport,
        errors=(ErrorKind.NOT_FOUND,),
    ),
    _make_move_request('/v1/moves/zones', handlers.ask_zone_move, ZoneMoveBody),
    _make_move_request(
        '/v1/moves/versions', handlers.ask_version_move, VersionMoveBody
    ),
    _make_move_request(
        f'{MOVE_PATH}/take-back',
        handlers.take_back_move,
        TakeBackBody,
        ErrorKind.NOT_FOUND,
    ),
    _make_read('/v1/status', handlers.show_status, Status),
    _make_read('/v1/hosts', handlers.show_hosts, HostStatuses),
    _make_read('/v1/backends', handlers.show_backends, BackendStatuses),
    _make_read('/v1/versions', handlers.show_versions, VersionStatuses),
)
"""Every operation, except for the API description and the metrics page."""
