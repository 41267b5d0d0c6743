"""Reports to operators on this host, its peers and backend servers."""

from collections import Counter

from ebonystream._ids import ServiceName
from ebonystream.admin import (
    BackendStatus,
    BackendStatuses,
    HostStatus,
    HostStatuses,
    ListsInForce,
    ServiceVersions,
    Status,
    VersionStatuses,
)
from ebonystream.backend import BackendServer
from ebonystream.composition._confirmations import list_confirmations
from ebonystream.composition._parts import Parts
from ebonystream.membership import MemberState
from ebonystream.move import Confirmation


def show_lists(parts: Parts) -> ListsInForce:
    """Return the lists in force."""
    published = parts.control.folded_state.published
    lists = published.lists
    encoded = None if lists is None else lists.model_dump(mode='json')
    return ListsInForce(published.version, encoded)


def report_status(parts: Parts) -> Status:
    """Return the status of this host."""
    progress = parts.control.progress
    return Status(
        host=parts.settings.host.id,
        zone=parts.settings.host.zone,
        incarnation=parts.incarnation,
        configuration_version=parts.control.version,
        control_next=progress.next_offset,
        following=progress.following,
        caught_up=progress.caught_up,
        leaving=parts.stopping.is_set(),
        hosts=report_hosts(parts).hosts,
        backends=report_backends(parts).backends,
    )


def report_hosts(parts: Parts) -> HostStatuses:
    """Return the status of all entry hosts."""
    states = {
        member.host: member.state
        for member in parts.peers.membership.table.list_members()
    }
    states[parts.settings.host.id] = _get_local_state(parts)
    confirmations = list_confirmations(parts)
    return HostStatuses(
        tuple(
            _describe_host(confirmation, states[confirmation.host])
            for confirmation in confirmations
        )
    )


def report_backends(parts: Parts) -> BackendStatuses:
    """Return the status of the backend servers."""
    return BackendStatuses(
        tuple(
            _describe_backend(server, parts)
            for server in parts.directory.servers.values()
        )
    )


def report_versions(parts: Parts) -> VersionStatuses:
    """Return the status of the versions of each service."""
    services = set(parts.directory.by_service)
    moves = parts.control.folded_state.moves
    services.update(moves.versions.settled)
    return VersionStatuses(
        tuple(_describe_service(name, parts) for name in sorted(services))
    )


def _get_local_state(parts: Parts) -> MemberState:
    leaving = parts.stopping.is_set()
    return MemberState.LEAVING if leaving else MemberState.REACHABLE


def _describe_host(
    confirmation: Confirmation, state: MemberState
) -> HostStatus:
    return HostStatus(
        host=confirmation.host,
        state=state,
        incarnation=confirmation.incarnation,
        control_next=confirmation.control_next,
        zones_in_flight=dict(confirmation.zones_in_flight),
        unreachable_since_ms=confirmation.unreachable_since_ms,
    )


def _describe_backend(server: BackendServer, parts: Parts) -> BackendStatus:
    return BackendStatus(
        server=server.id,
        service=server.service,
        version=server.version,
        zone=server.zone,
        zone_out=parts.control.is_evacuated(server.zone),
        leaving=server.leaving,
        phase=server.lifecycle.phase.value,
        in_flight=server.in_flight,
    )


def _describe_service(service: ServiceName, parts: Parts) -> ServiceVersions:
    moves = parts.control.folded_state.moves
    servers = parts.directory.list_servers(service)
    open_moves = (
        move.id
        for move in moves.table.list_open_version_moves()
        if move.service == service
    )
    return ServiceVersions(
        service=service,
        settled=moves.versions.settled.get(service),
        servers=dict(Counter(server.version for server in servers)),
        open_move=next(open_moves, None),
        taken_back=moves.versions.list_rolled_back(service),
    )
