"""HTTP/1.1 messages, read and spelled for callers and back ends alike."""

from ebonystream.http1._collector import Message, ReaderLimits
from ebonystream.http1._encoding import encode_request, encode_response
from ebonystream.http1._reader import (
    RECEIVE_BYTES,
    MessageReader,
    make_request_reader,
    make_response_reader,
)

__all__ = (
    'RECEIVE_BYTES',
    'Message',
    'MessageReader',
    'ReaderLimits',
    'make_request_reader',
    'make_response_reader',
    'encode_request',
    'encode_response',
)
