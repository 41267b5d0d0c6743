"""When the home of a server last saw each of its slots held."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, ServerId, SlotNumber
from ebonystream.backend import BackendServer, Directory
from ebonystream.routing._slots import SlotKey


@attrs.define
class LastSeen:
    """When a slot was last known to be held.

    Attributes:
        seen_at: When that was, or when this host became the slot's home.
        sequence: Newest known sequence of the slot.
    """

    seen_at: Monotonic
    sequence: int = -1


def list_known_servers(
    directory: Directory, server_ids: Iterable[ServerId]
) -> list[BackendServer]:
    """Return the known servers among those given, ordered by id."""
    servers = directory.servers
    return [servers[name] for name in sorted(server_ids) if name in servers]


def list_slot_keys(server: BackendServer, count: int) -> list[SlotKey]:
    """List the keys of a server's slots.

    Args:
        server: The server.
        count: Number of its slots.
    """
    return [(server.id, SlotNumber(number)) for number in range(count)]
