"""The users' platform: its names, message formats and store calls."""

from ebonystream.platform._dialect import make_dialect
from ebonystream.platform._fault import FormatError
from ebonystream.platform._hosts import (
    HOSTS_TOPIC,
    decode_hosts,
    encode_host,
)
from ebonystream.platform._listing import (
    NoteUnreadable,
    decode_orders,
    decode_servers,
)
from ebonystream.platform._settings import SETTINGS_VARIABLE, decode_settings
from ebonystream.platform._status import encode_status, find_status
from ebonystream.platform._store import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    STATUS_TOPIC,
    KeyedRecord,
    Listing,
    StoreClient,
)

__all__ = (
    'HOSTS_TOPIC',
    'OPERATOR_TOPIC',
    'SERVERS_TOPIC',
    'SETTINGS_VARIABLE',
    'STATUS_TOPIC',
    'FormatError',
    'KeyedRecord',
    'Listing',
    'NoteUnreadable',
    'StoreClient',
    'decode_hosts',
    'decode_orders',
    'decode_servers',
    'decode_settings',
    'encode_host',
    'encode_status',
    'find_status',
    'make_dialect',
)
