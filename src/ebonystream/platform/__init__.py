"""The users' platform: its names, message formats and store calls."""

from ebonystream.platform._codec import make_codec
from ebonystream.platform._errors import FormatError
from ebonystream.platform._hosts import HOSTS_TOPIC, encode_host_record
from ebonystream.platform._listing import (
    UnreadableRecordCallback,
    decode_hosts,
    decode_orders,
    decode_servers,
)
from ebonystream.platform._settings import SETTINGS_VARIABLE, decode_settings
from ebonystream.platform._status import (
    encode_move_status,
    find_reported_verdict,
)
from ebonystream.platform._store import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    STATUS_TOPIC,
    StoreClient,
)
from ebonystream.platform._store_messages import (
    KeyedRecord,
    Listing,
    TopicEnd,
)
from ebonystream.platform._usage_reports import (
    DUTY_TOPIC,
    encode_duty_record,
    encode_usage_report,
    find_last_duty_record,
)
from ebonystream.platform._usage_service import UsageService

__all__ = (
    'DUTY_TOPIC',
    'TopicEnd',
    'UsageService',
    'encode_duty_record',
    'encode_usage_report',
    'find_last_duty_record',
    'HOSTS_TOPIC',
    'OPERATOR_TOPIC',
    'SERVERS_TOPIC',
    'SETTINGS_VARIABLE',
    'STATUS_TOPIC',
    'FormatError',
    'KeyedRecord',
    'Listing',
    'UnreadableRecordCallback',
    'StoreClient',
    'decode_hosts',
    'decode_orders',
    'decode_servers',
    'decode_settings',
    'encode_host_record',
    'encode_move_status',
    'find_reported_verdict',
    'make_codec',
)
