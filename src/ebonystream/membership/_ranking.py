"""Rendezvous hashing: every host ranks the hosts for a key in one order."""

from collections.abc import Iterable

import xxhash

from ebonystream._ids import HostId


def rank_hosts(hosts: Iterable[HostId], key: str) -> tuple[HostId, ...]:
    """Rank hosts for a key.

    A host that joins or leaves does not change the order of the others.

    Args:
        hosts: Hosts to rank.
        key: Key that the order depends on.
    """
    return tuple(sorted(hosts, key=lambda host: _compute_weight(host, key)))


def choose_host(hosts: Iterable[HostId], key: str) -> HostId | None:
    """Return the host that ranks first for a key; None without hosts.

    Args:
        hosts: Hosts to choose from.
        key: Key that the order depends on.
    """
    return min(hosts, key=lambda host: _compute_weight(host, key), default=None)


def _compute_weight(host: HostId, key: str) -> tuple[int, HostId]:
    return xxhash.xxh3_64_intdigest(f'{host}\0{key}'.encode()), host
