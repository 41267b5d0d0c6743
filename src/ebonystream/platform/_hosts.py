"""Records in which entry hosts register their addresses at start-up."""

import msgspec

from ebonystream._ids import HostId, ZoneName
from ebonystream._validation import is_host_address, quote
from ebonystream.gossip import RegisteredHost
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.platform._store_messages import KeyedRecord

HOSTS_TOPIC = 'keyed.hosts'


class _HostRecord(msgspec.Struct):
    address: str
    zone: str = ''


def encode_host_record(host: RegisteredHost, name: HostId) -> KeyedRecord:
    """Encode the record by which a host registers.

    Args:
        host: The address and the zone of the host.
        name: The name of the host, used as the record's key.
    """
    record = _HostRecord(host.address, host.zone)
    return KeyedRecord(name, msgspec.json.encode(record))


def decode_host(record: KeyedRecord) -> RegisteredHost:
    """Decode the address and the zone of a host.

    Args:
        record: The record by which the host registered.

    Raises:
        FormatError: If the record has no IP address of a host.
    """
    host = decode_json(record.content, _HostRecord)
    if not is_host_address(host.address):
        raise FormatError(f'not an IP address: {quote(host.address)}')
    return RegisteredHost(host.address, ZoneName(host.zone))
