"""Parsing of what any response says about the server that sent it."""

from ebonystream.http1 import Message
from ebonystream.platform._headers import (
    RETRY_AFTER,
    SERVER_LEAVING,
    find_header,
)
from ebonystream.platform._numbers import parse_seconds
from ebonystream.roster import ServerNotice

REFUSAL_STATUS = 503
LEAVING = b'1'


def parse_notice(message: Message) -> ServerNotice:
    """Parse whether a server is leaving, and for how long it refuses requests.

    Args:
        message: The HTTP response that the server sent.
    """
    retry_after = find_header(message.headers, RETRY_AFTER)
    is_refusal = message.status == REFUSAL_STATUS
    return ServerNotice(
        is_leaving=find_header(message.headers, SERVER_LEAVING) == LEAVING,
        retry_after=parse_seconds(retry_after) if is_refusal else None,
    )
