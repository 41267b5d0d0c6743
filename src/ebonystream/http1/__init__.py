"""Parse and encode HTTP/1.1 messages, for callers and servers alike."""

from ebonystream.http1._collector import Message, ReaderLimits
from ebonystream.http1._reader import (
    RECEIVE_BYTES,
    Reader,
    make_request_reader,
    make_response_reader,
)
from ebonystream.http1._spelling import spell_request, spell_response

__all__ = (
    'RECEIVE_BYTES',
    'Message',
    'Reader',
    'ReaderLimits',
    'make_request_reader',
    'make_response_reader',
    'spell_request',
    'spell_response',
)
