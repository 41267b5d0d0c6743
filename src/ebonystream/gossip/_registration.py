"""Hosts that are registered in the store, and whom of them to contact first."""

from collections.abc import Iterable
from random import Random

import attrs

from ebonystream._ids import ZoneName

CONTACTS_PER_ZONE = 3
"""Hosts of each other zone that a host contacts first. Some may have ended."""


@attrs.frozen
class RegisteredHost:
    """A host that has registered in the store; it may have ended since.

    Attributes:
        address: IP address at which other hosts reach it.
        zone: Its availability zone; empty if not known.
    """

    address: str
    zone: ZoneName


def select_contacts(
    registered: Iterable[RegisteredHost],
    *,
    local_zone: ZoneName,
    known: frozenset[str],
    random: Random,
) -> list[str]:
    """Select the addresses that a host which has started contacts.

    These are all hosts of its own zone, where messages are cheap, and a few of
    each other zone: the leader of a zone tells its zone of the others.

    Args:
        registered: All hosts that ever registered.
        local_zone: Zone of the local host.
        known: Addresses that are known already, that of the local host too.
        random: Chooses the hosts of other zones.
    """
    by_zone: dict[ZoneName, list[str]] = {}
    for host in registered:
        if host.address not in known:
            by_zone.setdefault(host.zone, []).append(host.address)
    contacts: list[str] = []
    for zone, addresses in sorted(by_zone.items()):
        is_local = zone in {local_zone, ''}
        limit = len(addresses) if is_local else CONTACTS_PER_ZONE
        contacts += random.sample(addresses, min(limit, len(addresses)))
    return contacts
