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
from ebonystream.request import Dialect


def make_dialect() -> Dialect:
    """Return the functions that encode and decode the platform's messages."""
    return Dialect(
        read_request=read_request,
        spell_request=spell_server_request,
        make_is_own=make_is_own,
        read_answer=read_answer,
        spell_response=spell_caller_response,
        spell_question=spell_question,
        is_health=is_health,
        read_health=read_health,
    )
