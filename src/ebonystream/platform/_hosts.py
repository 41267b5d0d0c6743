"""Records in which entry hosts register their addresses at start-up."""

import msgspec

from ebonystream._ids import HostId
from ebonystream.platform._store import KeyedRecord, Listing

HOSTS_TOPIC = 'keyed.hosts'


class _HostRecord(msgspec.Struct):
    address: str


def encode_host_record(name: HostId, address: str) -> KeyedRecord:
    """Encode the record by which a host registers.

    Args:
        name: The name of the host, used as the record's key.
        address: The IP address at which the other hosts reach it.
    """
    return KeyedRecord(name, msgspec.json.encode(_HostRecord(address)))


def decode_host_addresses(listing: Listing) -> tuple[str, ...]:
    """Decode the IP addresses of all hosts that ever registered.

    Records that cannot be decoded are skipped.

    Args:
        listing: The newest record of each host.
    """
    addresses: list[str] = []
    for record in listing.records:
        try:
            host = msgspec.json.decode(record.content, type=_HostRecord)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue
        addresses.append(host.address)
    return tuple(addresses)
