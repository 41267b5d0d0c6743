"""Rendezvous hashing: the same order of hosts for a key on every host."""

from collections.abc import Iterable

import xxhash

from ebonystream._ids import HostId


def rank(members: Iterable[HostId], key: str) -> tuple[HostId, ...]:
    """Order hosts for a key; a host that joins or leaves moves no other.

    Args:
        members: The hosts.
        key: What they are ordered for.
    """
    return tuple(sorted(members, key=lambda host: _weigh(host, key)))


def choose_first(members: Iterable[HostId], key: str) -> HostId | None:
    """Give the first host of the order; None where there is no host.

    Args:
        members: The hosts.
        key: What they are ordered for.
    """
    return min(members, key=lambda host: _weigh(host, key), default=None)


def _weigh(host: HostId, key: str) -> tuple[int, HostId]:
    return xxhash.xxh3_64_intdigest(f'{host}\0{key}'.encode()), host
