"""The codec of the platform's messages."""

from ebonystream.platform._answers import (
    make_is_own,
    read_answer,
    spell_caller_response,
)
from ebonystream.platform._health import (
    is_health,
    read_health,
    spell_question,
)
from ebonystream.platform._requests import read_request, spell_server_request
from ebonystream.request import MessageCodec


def make_dialect() -> MessageCodec:
    """Return the functions that encode and decode the platform's messages."""
    return MessageCodec(
        decode_request=read_request,
        encode_request=spell_server_request,
        make_response_matcher=make_is_own,
        decode_response=read_answer,
        encode_response=spell_caller_response,
        encode_health_request=spell_question,
        is_health_response=is_health,
        decode_health_response=read_health,
    )
