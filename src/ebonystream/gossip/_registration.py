"""Hosts that are registered in the store, and whom of them to contact first."""

from collections.abc import Iterable
from random import Random

import attrs

from ebonystream._ids import ZoneName

CONTACTS_PER_ZONE = 4
"""Registered hosts of each zone that are contacted. Some may have ended."""


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
    known: frozenset[str],
    random: Random,
) -> list[str]:
    """Select the addresses of registered hosts to contact.

    These are a few unknown hosts of each zone: whoever is contacted names the
    leader of its zone, and that one tells its zone.

    Args:
        registered: All hosts that ever registered.
        known: Addresses that are known already, that of the local host too.
        random: Chooses the hosts.
    """
    by_zone: dict[ZoneName, list[str]] = {}
    for host in registered:
        if host.address not in known:
            by_zone.setdefault(host.zone, []).append(host.address)
    contacts: list[str] = []
    for _, addresses in sorted(by_zone.items()):
        count = min(CONTACTS_PER_ZONE, len(addresses))
        contacts += random.sample(addresses, count)
    return contacts
