"""The table of operations: routes and their description come from it."""

import enum

import attrs
import msgspec

from ebonystream.admin import _handlers as handlers
from ebonystream.admin._answers import (
    BackendStatuses,
    HostStatuses,
    ListsInForce,
    MoveReports,
    PublishedVersion,
    Status,
    VersionStatuses,
)
from ebonystream.admin._bodies import (
    Body,
    PublishBody,
    TakeBackBody,
    VersionMoveBody,
    ZoneMoveBody,
)
from ebonystream.errors import ErrorKind
from ebonystream.move import MoveReport

MOVE_PATH = '/v1/moves/{move}'
LISTS_PATH = '/v1/lists'

ASKING_ERRORS = (ErrorKind.MALFORMED_REQUEST, ErrorKind.LOG_UNAVAILABLE)


class Method(enum.Enum):
    """The HTTP methods of the API."""

    GET = 'get'
    POST = 'post'


@attrs.frozen
class Operation:
    """One operation.

    Attributes:
        method: Its HTTP method.
        path: Its path, with parameters in braces.
        handle: What does it; its docstring is the summary.
        answer: The shape of the answer.
        body: The shape of the body, if it takes one.
        errors: What it can be refused with, beside a wrong key.
    """

    method: Method
    path: str
    handle: handlers.Handle
    answer: type[msgspec.Struct]
    body: type[Body] | None = None
    errors: tuple[ErrorKind, ...] = ()


def _show(
    path: str, handle: handlers.Handle, answer: type[msgspec.Struct]
) -> Operation:
    return Operation(Method.GET, path, handle, answer)


def _ask(
    path: str, handle: handlers.Handle, body: type[Body], *errors: ErrorKind
) -> Operation:
    return Operation(
        Method.POST,
        path,
        handle,
        MoveReport,
        body=body,
        errors=(*ASKING_ERRORS, ErrorKind.MOVE_REJECTED, *errors),
    )


OPERATIONS = (
    _show(LISTS_PATH, handlers.show_lists, ListsInForce),
    Operation(
        Method.POST,
        LISTS_PATH,
        handlers.publish_lists,
        PublishedVersion,
        body=PublishBody,
        errors=(*ASKING_ERRORS, ErrorKind.PUBLISH_REJECTED),
    ),
    _show('/v1/moves', handlers.list_moves, MoveReports),
    Operation(
        Method.GET,
        MOVE_PATH,
        handlers.report_move,
        MoveReport,
        errors=(ErrorKind.NOT_FOUND,),
    ),
    _ask('/v1/moves/zones', handlers.ask_zone_move, ZoneMoveBody),
    _ask('/v1/moves/versions', handlers.ask_version_move, VersionMoveBody),
    _ask(
        f'{MOVE_PATH}/take-back',
        handlers.take_back_move,
        TakeBackBody,
        ErrorKind.NOT_FOUND,
    ),
    _show('/v1/status', handlers.show_status, Status),
    _show('/v1/hosts', handlers.show_hosts, HostStatuses),
    _show('/v1/backends', handlers.show_backends, BackendStatuses),
    _show('/v1/versions', handlers.show_versions, VersionStatuses),
)
"""Every operation, but for the description itself."""
