"""Response bodies of the administration API.

Docstrings of the classes are served as part of the API description.
"""

from typing import Any

import msgspec

from ebonystream._ids import (
    ConfigurationVersion,
    EpochMs,
    HostId,
    Incarnation,
    MoveId,
    Offset,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.configuration import Following
from ebonystream.membership import MemberState
from ebonystream.move import MoveReport


class PublishedVersion(msgspec.Struct, frozen=True):
    """The version that a publish made.

    Attributes:
        version: The version.
    """

    version: ConfigurationVersion


class ListsInForce(msgspec.Struct, frozen=True):
    """The two lists in force.

    Attributes:
        version: Their version; 0 before the first publish.
        lists: The lists, in the spelling of the operators.
    """

    version: ConfigurationVersion
    lists: dict[str, Any] | None


class MoveReports(msgspec.Struct, frozen=True):
    """Open moves and the latest closed ones.

    Attributes:
        moves: A report on each, in the order of asking.
    """

    moves: tuple[MoveReport, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """An entry host, as the answering host knows it.

    Attributes:
        host: The host.
        state: How it stands.
        incarnation: Which run of it; None where it was never heard.
        control_next: The first offset of the control stream it lacked.
        zones_in_flight: Calls that it had in hand in each zone.
        unreachable_since_ms: Since when it can't be reached, if so.
    """

    host: HostId
    state: MemberState
    incarnation: Incarnation | None
    control_next: Offset
    zones_in_flight: dict[ZoneName, int]
    unreachable_since_ms: EpochMs | None


class HostStatuses(msgspec.Struct, frozen=True):
    """Every live entry host.

    Attributes:
        hosts: The hosts.
    """

    hosts: tuple[HostStatus, ...]


class BackendStatus(msgspec.Struct, frozen=True):
    """A backend server, as the answering host knows it.

    Attributes:
        server: The server.
        service: Its service.
        version: The version it runs.
        zone: The zone it stands in.
        zone_out: Whether operators took that zone out.
        leaving: Whether the platform says that it leaves.
        phase: Whether it is cold, warming or serving.
        in_flight: Calls of the answering host that it has in hand.
    """

    server: ServerId
    service: ServiceName
    version: VersionName
    zone: ZoneName
    zone_out: bool
    leaving: bool
    phase: str
    in_flight: int


class BackendStatuses(msgspec.Struct, frozen=True):
    """Every backend server.

    Attributes:
        backends: The servers.
    """

    backends: tuple[BackendStatus, ...]


class ServiceVersions(msgspec.Struct, frozen=True):
    """The versions of a service.

    Attributes:
        service: The service.
        settled: The version that traffic stands at, once a move named it.
        servers: How many servers run each version.
        open_move: The move that is under way, if any.
        taken_back: Versions that may never return.
    """

    service: ServiceName
    settled: VersionName | None
    servers: dict[VersionName, int]
    open_move: MoveId | None
    taken_back: tuple[VersionName, ...]


class VersionStatuses(msgspec.Struct, frozen=True):
    """The versions of every service.

    Attributes:
        services: The services.
    """

    services: tuple[ServiceVersions, ...]


class Status(msgspec.Struct, frozen=True):
    """How the answering host stands.

    Attributes:
        host: The host.
        zone: The zone it stands in.
        incarnation: Which run of it.
        configuration_version: The version of the lists it follows.
        control_next: The first offset of the control stream it lacks.
        following: Whether it holds all that the log forgot.
        caught_up: Whether it knows the configuration and serves callers.
        leaving: Whether it is stopping.
        hosts: The entry hosts, itself first.
        backends: Its backend servers.
    """

    host: HostId
    zone: ZoneName
    incarnation: Incarnation
    configuration_version: ConfigurationVersion
    control_next: Offset
    following: Following
    caught_up: bool
    leaving: bool
    hosts: tuple[HostStatus, ...]
    backends: tuple[BackendStatus, ...]


class ErrorBody(msgspec.Struct, frozen=True):
    """The answer where something was refused.

    Attributes:
        error: The kind of error.
        outcome: What became of the request.
        detail: What was wrong.
        advice: What can be done.
    """

    error: str
    outcome: str
    detail: str
    advice: str
