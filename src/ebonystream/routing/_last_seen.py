"""When each slot of a server was last known to be held, for its home."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, ServerId, SlotNumber
from ebonystream.backend import BackendServer, Directory
from ebonystream.routing._slots import SlotKey


@attrs.define
class LastSeen:
    """When a slot was last known to be held.

    Attributes:
        seen_at: When the slot was last reported as held, or when this host
            became its home.
        sequence: Newest known sequence of the slot.
    """

    seen_at: Monotonic
    sequence: int = -1


def list_known_servers(
    directory: Directory, server_ids: Iterable[ServerId]
) -> list[BackendServer]:
    """Return the known servers among those given, ordered by id."""
    servers = directory.servers
    return [
        servers[server_id]
        for server_id in sorted(server_ids)
        if server_id in servers
    ]


def list_slot_keys(server: BackendServer, count: int) -> list[SlotKey]:
    """List the keys of a server's slots.

    Args:
        server: The server.
        count: Number of its slots.
    """
    return [(server.id, SlotNumber(number)) for number in range(count)]
