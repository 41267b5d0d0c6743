"""Encoding of usage reports, and of the records of the topic of duties."""

import struct
import zlib
from collections.abc import Mapping

import msgspec

from ebonystream._ids import (
    FencingToken,
    HostId,
    Incarnation,
    WindowNumber,
    WorkspaceName,
)
from ebonystream.duty import DutyRecord, Report
from ebonystream.platform._errors import FormatError, decode_json

DUTY_TOPIC = 'duty'

RECORD_MARK = b'\xebDUTY\x01'
"""Starts each record. Records are found by their mark, length and checksum,
whatever the store puts between them in a read of several."""

RECORD_HEADER = struct.Struct('>II')
"""Length and checksum of the JSON that follows."""


class _UsageReport(msgspec.Struct):
    window_id: WindowNumber
    counts: dict[WorkspaceName, int]


class _DutyRecord(msgspec.Struct):
    holder: HostId
    incarnation: Incarnation
    token: FencingToken
    window: WindowNumber
    report: msgspec.Raw


def encode_usage_report(
    window: WindowNumber, counts: Mapping[WorkspaceName, int]
) -> Report:
    """Encode the report of a window.

    Args:
        window: The window.
        counts: Number of requests of each workspace.
    """
    ordered = dict(sorted(counts.items()))
    return Report(window, msgspec.json.encode(_UsageReport(window, ordered)))


def encode_duty_record(record: DutyRecord) -> bytes:
    """Encode a record of the topic of duties.

    Args:
        record: The record.
    """
    text = msgspec.json.encode(
        _DutyRecord(
            holder=record.holder,
            incarnation=record.incarnation,
            token=record.token,
            window=record.report.window,
            report=msgspec.Raw(record.report.body),
        )
    )
    header = RECORD_HEADER.pack(len(text), zlib.crc32(text))
    return RECORD_MARK + header + text


def find_last_duty_record(content: bytes) -> DutyRecord | None:
    """Return the last record in a read of the topic; None without one.

    Args:
        content: The records as the store returns them.
    """
    position = content.rfind(RECORD_MARK)
    while position >= 0:
        record = _decode_at(content, position + len(RECORD_MARK))
        if record is not None:
            return record
        position = content.rfind(RECORD_MARK, 0, position)
    return None


def _decode_at(content: bytes, position: int) -> DutyRecord | None:
    start = position + RECORD_HEADER.size
    if start > len(content):
        return None
    length, checksum = RECORD_HEADER.unpack_from(content, position)
    text = content[start : start + length]
    if len(text) != length or zlib.crc32(text) != checksum:
        return None
    try:
        decoded = decode_json(text, _DutyRecord)
    except FormatError:
        return None
    return DutyRecord(
        holder=decoded.holder,
        incarnation=decoded.incarnation,
        token=decoded.token,
        report=Report(decoded.window, bytes(decoded.report)),
    )
