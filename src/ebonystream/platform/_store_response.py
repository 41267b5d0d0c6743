"""Responses of the platform's store, each with the era of the store."""

import attrs

from ebonystream._calls import Headers
from ebonystream._ids import Offset, StoreEra
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.platform._numbers import parse_whole_number

ERA_FIELD = b'store-era'
NO_ERA = StoreEra(0)
"""Era of a store whose responses have no such field."""


@attrs.frozen(kw_only=True)
class StoreResponse:
    """A response of the store.

    Attributes:
        status: The status code.
        body: The body.
        era: Era of the store.
    """

    status: int
    body: bytes
    era: StoreEra


@attrs.frozen
class WaitResult:
    """How far a topic extends after a wait for new records.

    Attributes:
        era: Era of the store.
        end: Offset of the next record; None if the topic doesn't have the
            offset that the wait began at.
    """

    era: StoreEra
    end: Offset | None


def decode_era(headers: Headers) -> StoreEra:
    """Decode the era of the store from the header of a response.

    Args:
        headers: The header of the response.

    Raises:
        EbonystreamError: `LOG_UNAVAILABLE`, if it isn't one whole number.
    """
    fields = [content for name, content in headers if name == ERA_FIELD]
    if not fields:
        return NO_ERA
    era = parse_whole_number(fields[0])
    if era is None or len(fields) > 1:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'malformed era')
    return StoreEra(era)
