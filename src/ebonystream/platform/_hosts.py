"""Records in which entry hosts register their addresses at start-up."""

import msgspec

from ebonystream._ids import HostId
from ebonystream._validation import is_host_address, quote
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.platform._store import KeyedRecord

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


def decode_host_address(record: KeyedRecord) -> str:
    """Decode the IP address at which the other hosts reach a host.

    Args:
        record: The record by which the host registered.

    Raises:
        FormatError: If the record has no IP address of a host.
    """
    address = decode_json(record.content, _HostRecord).address
    if not is_host_address(address):
        raise FormatError(f'not an IP address: {quote(address)}')
    return address
