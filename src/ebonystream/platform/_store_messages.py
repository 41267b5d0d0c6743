"""Messages of the platform's store."""

import base64
import struct
from typing import TypeVar

import attrs
import msgspec

from ebonystream._ids import Offset, StoreEra
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.platform._store_response import NO_ERA

Decoded = TypeVar('Decoded')

KEY_LENGTH = struct.Struct('>B')
READ_HEADER = struct.Struct('>QQ')
"""The end offset of a partition and the first offset that it retains."""


@attrs.frozen
class KeyedRecord:
    """The newest record of one key.

    Attributes:
        key: The key, unique in its topic's listing.
        content: The value, as stored.
        offset: The offset of the record in its topic; None before the append.
    """

    key: str
    content: bytes
    offset: Offset | None = None


@attrs.frozen
class Listing:
    """The newest records of a keyed topic.

    Attributes:
        records: One record for each key.
        end: Offset of the record after the last one that is surely among them;
            some may be newer.
        era: Era of the store.
    """

    records: tuple[KeyedRecord, ...]
    end: Offset
    era: StoreEra = NO_ERA


@attrs.frozen
class TopicEnd:
    """The end of a topic without keys.

    Attributes:
        end: Offset of the next record.
        content: The last record as the store returns it; empty if the topic
            retains none.
    """

    end: Offset
    content: bytes


@attrs.frozen
class TopicBounds:
    """Offsets in the response to a read.

    Attributes:
        end: Offset of the next record.
        first: Offset of the first record that the topic retains.
    """

    end: Offset
    first: Offset


class GoneOffsets(msgspec.Struct):
    """Response to a read of records that are not retained any more."""

    first: Offset


class ListedItem(msgspec.Struct):
    """One record of a listing; its value is in Base64."""

    key: str
    value: str
    offset: Offset


class ListingPage(msgspec.Struct):
    """One page of a listing."""

    items: tuple[ListedItem, ...]
    more: bool
    end: Offset


class AppendResult(msgspec.Struct):
    """Response to an append."""

    offset: Offset


def decode_body(body: bytes, expected_type: type[Decoded]) -> Decoded:
    """Decode a response in JSON.

    Args:
        body: The response.
        expected_type: The type of the result.

    Raises:
        EbonystreamError: `LOG_UNAVAILABLE`, if it is malformed.
    """
    try:
        return decode_json(body, expected_type)
    except FormatError as error:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, str(error)) from error


def decode_item(item: ListedItem) -> KeyedRecord:
    """Decode one record of a listing.

    Args:
        item: The item.

    Raises:
        EbonystreamError: `LOG_UNAVAILABLE`, if it is malformed.
    """
    try:
        content = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, str(error)) from error
    return KeyedRecord(item.key, content, item.offset)


def decode_bounds(body: bytes) -> TopicBounds:
    """Decode the start of the response to a read.

    Args:
        body: The response.

    Raises:
        EbonystreamError: `LOG_UNAVAILABLE`, if it is too short.
    """
    if len(body) < READ_HEADER.size:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'short read')
    end, first = READ_HEADER.unpack_from(body)
    return TopicBounds(Offset(end), Offset(first))


def encode_record(record: KeyedRecord) -> bytes:
    """Encode the content of a keyed record.

    Args:
        record: The record.
    """
    key = record.key.encode()
    return KEY_LENGTH.pack(len(key)) + key + record.content
