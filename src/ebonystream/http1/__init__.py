"""Parse and encode HTTP/1.1 messages, for callers and servers alike."""

from ebonystream.http1._encoding import (
    EncodedMessage,
    SplitMessage,
    encode_request,
    encode_request_parts,
    encode_response,
)
from ebonystream.http1._message import Message, ReaderLimits
from ebonystream.http1._reader import (
    RECEIVE_BYTES,
    MessageReader,
    Meter,
    count_awaited_bytes,
    count_held_bytes,
    make_request_reader,
    make_response_reader,
)
from ebonystream.http1._statusline import (
    FINAL_STATUSES,
    find_status_line_error,
)

__all__ = (
    'FINAL_STATUSES',
    'RECEIVE_BYTES',
    'EncodedMessage',
    'Message',
    'Meter',
    'SplitMessage',
    'count_awaited_bytes',
    'count_held_bytes',
    'MessageReader',
    'ReaderLimits',
    'make_request_reader',
    'make_response_reader',
    'encode_request',
    'encode_response',
    'encode_request_parts',
    'find_status_line_error',
)
