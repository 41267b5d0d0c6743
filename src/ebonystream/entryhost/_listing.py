"""Backend servers and settings of services that requests are placed by."""

from collections.abc import Mapping

from ebonystream._ids import ServiceName
from ebonystream.entryhost._parts import HostParts
from ebonystream.roster import KnownServer
from ebonystream.route import ServiceSettings


def list_servers(
    parts: HostParts, service: ServiceName, draw: float
) -> list[KnownServer]:
    """List the servers of a service that a request may be sent to.

    Servers in evacuated zones are left out.

    Args:
        parts: The state of the host.
        service: Name of the service.
        draw: Random number from 0 to 1 that selects the version.
    """
    now = parts.timers.now()
    zones_out = parts.orders.get_zones_out(now)
    servers = [
        server
        for server in parts.roster.list_servers(service)
        if server.entry.zone not in zones_out
    ]
    return parts.moves.select_servers(
        service, servers, now=now, version_draw=draw
    )


def list_service_settings(
    parts: HostParts,
) -> Mapping[ServiceName, ServiceSettings]:
    """Return the settings of each service in force.

    Args:
        parts: The state of the host.
    """
    configuration = parts.orders.configuration
    return configuration.services if configuration else {}
