"""One handler for each operation of the administration API.

The name of a handler is the id of its operation, and its docstring is the
summary of the operation, in the API description.
"""

from collections.abc import Awaitable, Callable

import attrs
import msgspec

from ebonystream._ids import EpochMs, MoveId
from ebonystream._timers import MS_PER_SECOND
from ebonystream.admin._bodies import (
    PublishBody,
    TakeBackBody,
    VersionMoveBody,
    ZoneMoveBody,
    parse_body,
)
from ebonystream.admin._functions import AdminFunctions
from ebonystream.admin._responses import MoveReports, PublishedVersion
from ebonystream.move import (
    MoveReport,
    RequestVersionMove,
    RequestZoneMove,
    RollBackMove,
)


@attrs.frozen
class OperatorRequest:
    """A request from an operator.

    Attributes:
        body: The request body.
        move: Id of the move in the path; empty if the path has none.
    """

    body: bytes
    move: MoveId = MoveId('')


Handler = Callable[[AdminFunctions, OperatorRequest], Awaitable[msgspec.Struct]]
"""Carry out an operation and return the response body."""


async def show_lists(
    functions: AdminFunctions, request: OperatorRequest
) -> msgspec.Struct:
    """Show the lists in force."""
    return functions.show_lists()


async def publish_lists(
    functions: AdminFunctions, request: OperatorRequest
) -> PublishedVersion:
    """Publish both lists."""
    body = parse_body(PublishBody, request.body)
    version = await functions.publish(body.id, body.based_on, body.lists)
    return PublishedVersion(version)


async def list_moves(
    functions: AdminFunctions, request: OperatorRequest
) -> MoveReports:
    """Report on open moves and the latest closed ones."""
    return MoveReports(
        tuple(map(functions.report_move, functions.list_moves()))
    )


async def report_move(
    functions: AdminFunctions, request: OperatorRequest
) -> MoveReport:
    """Report on one move."""
    return functions.report_move(request.move)


async def ask_zone_move(
    functions: AdminFunctions, request: OperatorRequest
) -> MoveReport:
    """Ask that a zone is taken out or brought back."""
    body = parse_body(ZoneMoveBody, request.body)
    await functions.submit(RequestZoneMove(body.id, body.zone, body.direction))
    return functions.report_move(MoveId(body.id))


async def ask_version_move(
    functions: AdminFunctions, request: OperatorRequest
) -> MoveReport:
    """Ask that traffic moves to another version."""
    body = parse_body(VersionMoveBody, request.body)
    finish_by_ms = int(body.finish_by.timestamp() * MS_PER_SECOND)
    version_move = RequestVersionMove(
        request=body.id,
        service=body.service,
        from_version=body.from_version,
        to_version=body.to_version,
        finish_by_ms=EpochMs(finish_by_ms),
    )
    await functions.submit(version_move)
    return functions.report_move(MoveId(body.id))


async def take_back_move(
    functions: AdminFunctions, request: OperatorRequest
) -> MoveReport:
    """Take an open move back."""
    body = parse_body(TakeBackBody, request.body)
    functions.report_move(request.move)
    await functions.submit(RollBackMove(body.id, request.move, body.reason))
    return functions.report_move(request.move)


async def show_status(
    functions: AdminFunctions, request: OperatorRequest
) -> msgspec.Struct:
    """Show how the answering host stands."""
    return functions.report_status()


async def show_hosts(
    functions: AdminFunctions, request: OperatorRequest
) -> msgspec.Struct:
    """Show every live entry host."""
    return functions.report_hosts()


async def show_backends(
    functions: AdminFunctions, request: OperatorRequest
) -> msgspec.Struct:
    """Show every backend server."""
    return functions.report_backends()


async def show_versions(
    functions: AdminFunctions, request: OperatorRequest
) -> msgspec.Struct:
    """Show the versions of every service."""
    return functions.report_versions()
