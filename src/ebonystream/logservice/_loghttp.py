"""HTTP client of the log service."""

from typing import TypeVar

import httpx
import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream._responsecheck import check_status_line
from ebonystream._timers import MS_PER_SECOND
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice._log import LogPage, LogRecord, LogService

MAX_PAGE_RECORDS = 1000

Decoded = TypeVar('Decoded')

JSON_HEADERS = (('content-type', 'application/json'),)


class _AppendResponse(msgspec.Struct):
    offset: Offset


class _Record(msgspec.Struct):
    offset: Offset
    at_ms: EpochMs
    value: msgspec.Raw


class _Page(msgspec.Struct):
    first: Offset
    next: Offset
    records: tuple[_Record, ...]


def make_http_log_service(*, client: httpx.AsyncClient, url: str) -> LogService:
    """Return a log service that is accessed over HTTP.

    Args:
        client: The HTTP client; its timeout limits each append and read.
        url: The base address of the service.
    """

    async def append(stream: StreamName, body: bytes) -> Offset:
        content = await _send(
            client,
            client.build_request(
                'POST',
                f'{url}/streams/{stream}/records',
                content=body,
                headers=JSON_HEADERS,
            ),
        )
        return _decode(content, _AppendResponse).offset

    async def read(stream: StreamName, start: Offset, wait: Seconds) -> LogPage:
        content = await _send(
            client,
            client.build_request(
                'GET',
                f'{url}/streams/{stream}/records',
                params={
                    'from': start,
                    'limit': MAX_PAGE_RECORDS,
                    'wait_ms': int(wait * MS_PER_SECOND),
                },
            ),
        )
        return _convert_page(_decode(content, _Page))

    return LogService(append=append, read=read)


async def _send(client: httpx.AsyncClient, request: httpx.Request) -> bytes:
    try:
        response = await client.send(request)
        check_status_line(response)
    except httpx.HTTPError as error:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, repr(error)
        ) from error
    if response.status_code != httpx.codes.OK:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, f'status {response.status_code}'
        )
    return response.content


def _decode(body: bytes, type_: type[Decoded]) -> Decoded:
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.MsgspecError as error:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, str(error)) from error


def _convert_page(page: _Page) -> LogPage:
    return LogPage(
        first_offset=page.first,
        next_offset=page.next,
        records=tuple(
            LogRecord(record.offset, record.at_ms, bytes(record.value))
            for record in page.records
        ),
    )
