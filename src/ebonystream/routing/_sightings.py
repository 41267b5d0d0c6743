"""What the home of a server knows of where its slots are."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, ServerId, SlotNumber
from ebonystream.backend import BackendServer, Directory
from ebonystream.routing._slots import SlotKey


@attrs.define
class Sighting:
    """When a slot was last known to be held.

    Attributes:
        at: When that was, or when this host became home to it.
        sequence: How often it had changed hands.
    """

    at: Monotonic
    sequence: int = -1


def list_servers(
    directory: Directory, names: Iterable[ServerId]
) -> list[BackendServer]:
    """Give the listed servers among those named, in a fixed order."""
    servers = directory.servers
    return [servers[name] for name in sorted(names) if name in servers]


def list_keys(server: BackendServer, count: int) -> list[SlotKey]:
    """Name the slots of a server.

    Args:
        server: The server.
        count: How many slots it has.
    """
    return [(server.id, SlotNumber(number)) for number in range(count)]
