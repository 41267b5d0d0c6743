"""The topic in which entry hosts leave their addresses at their start."""

import msgspec

from ebonystream._ids import HostId
from ebonystream.platform._store import KeyedRecord, Listing

HOSTS_TOPIC = 'keyed.hosts'


class _Host(msgspec.Struct):
    address: str


def encode_host_record(name: HostId, address: str) -> KeyedRecord:
    """Spell the record that a host leaves.

    Args:
        name: Its name.
        address: The IP number at which its peers reach it.
    """
    return KeyedRecord(name, msgspec.json.encode(_Host(address)))


def decode_host_addresses(listing: Listing) -> tuple[str, ...]:
    """Read the IP numbers of all hosts that ever started.

    Args:
        listing: The newest record of each host.
    """
    addresses: list[str] = []
    for record in listing.records:
        try:
            host = msgspec.json.decode(record.content, type=_Host)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue
        addresses.append(host.address)
    return tuple(addresses)
