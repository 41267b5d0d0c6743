"""The functions that translate the platform's messages."""

from ebonystream.platform._health import (
    decode_health_response,
    encode_health_request,
    is_health_response,
)
from ebonystream.platform._requests import (
    decode_caller_request,
    encode_server_request,
)
from ebonystream.platform._responses import (
    decode_server_response,
    encode_caller_response,
    make_response_matcher,
)
from ebonystream.request import MessageCodec


def make_codec() -> MessageCodec:
    """Make the functions that translate the platform's messages."""
    return MessageCodec(
        decode_request=decode_caller_request,
        encode_request=encode_server_request,
        make_response_matcher=make_response_matcher,
        decode_response=decode_server_response,
        encode_response=encode_caller_response,
        encode_health_request=encode_health_request,
        is_health_response=is_health_response,
        decode_health_response=decode_health_response,
    )
