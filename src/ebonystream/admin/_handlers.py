"""One handler for each operation of the administration API.

The name of a handler is the id of its operation, and its docstring is the
summary of the operation, in the API description.
"""

from collections.abc import Awaitable, Callable

import attrs
import msgspec

from ebonystream._ids import EpochMs, MoveId
from ebonystream._timers import MS_PER_SECOND
from ebonystream.admin._answers import MoveReports, PublishedVersion
from ebonystream.admin._bodies import (
    PublishBody,
    TakeBackBody,
    VersionMoveBody,
    ZoneMoveBody,
    parse_body,
)
from ebonystream.admin._verbs import AdminVerbs
from ebonystream.move import (
    AskVersionMove,
    AskZoneMove,
    MoveReport,
    TakeBack,
)


@attrs.frozen
class Sent:
    """A request from an operator.

    Attributes:
        body: The request body.
        move: Id of the move in the path; empty if the path has none.
    """

    body: bytes
    move: MoveId = MoveId('')


Handler = Callable[[AdminVerbs, Sent], Awaitable[msgspec.Struct]]
"""Carry out an operation and return the response body."""


async def show_lists(verbs: AdminVerbs, sent: Sent) -> msgspec.Struct:
    """Show the lists in force."""
    return verbs.show_lists()


async def publish_lists(verbs: AdminVerbs, sent: Sent) -> PublishedVersion:
    """Publish both lists."""
    body = parse_body(PublishBody, sent.body)
    version = await verbs.publish(body.id, body.based_on, body.lists)
    return PublishedVersion(version)


async def list_moves(verbs: AdminVerbs, sent: Sent) -> MoveReports:
    """Report on open moves and the latest closed ones."""
    return MoveReports(tuple(map(verbs.report_move, verbs.list_moves())))


async def report_move(verbs: AdminVerbs, sent: Sent) -> MoveReport:
    """Report on one move."""
    return verbs.report_move(sent.move)


async def ask_zone_move(verbs: AdminVerbs, sent: Sent) -> MoveReport:
    """Ask that a zone is taken out or brought back."""
    body = parse_body(ZoneMoveBody, sent.body)
    await verbs.ask(AskZoneMove(body.id, body.zone, body.direction))
    return verbs.report_move(MoveId(body.id))


async def ask_version_move(verbs: AdminVerbs, sent: Sent) -> MoveReport:
    """Ask that traffic moves to another version."""
    body = parse_body(VersionMoveBody, sent.body)
    finish_by_ms = int(body.finish_by.timestamp() * MS_PER_SECOND)
    version_move = AskVersionMove(
        request=body.id,
        service=body.service,
        from_version=body.from_version,
        to_version=body.to_version,
        finish_by_ms=EpochMs(finish_by_ms),
    )
    await verbs.ask(version_move)
    return verbs.report_move(MoveId(body.id))


async def take_back_move(verbs: AdminVerbs, sent: Sent) -> MoveReport:
    """Take an open move back."""
    body = parse_body(TakeBackBody, sent.body)
    verbs.report_move(sent.move)
    await verbs.ask(TakeBack(body.id, sent.move, body.reason))
    return verbs.report_move(sent.move)


async def show_status(verbs: AdminVerbs, sent: Sent) -> msgspec.Struct:
    """Show how the answering host stands."""
    return verbs.report_status()


async def show_hosts(verbs: AdminVerbs, sent: Sent) -> msgspec.Struct:
    """Show every live entry host."""
    return verbs.report_hosts()


async def show_backends(verbs: AdminVerbs, sent: Sent) -> msgspec.Struct:
    """Show every backend server."""
    return verbs.report_backends()


async def show_versions(verbs: AdminVerbs, sent: Sent) -> msgspec.Struct:
    """Show the versions of every service."""
    return verbs.report_versions()
