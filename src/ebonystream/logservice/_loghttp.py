"""The log service over HTTP."""

from typing import TypeVar

import httpx
import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice._log import LogPage, LogRecord, LogService

PAGE_RECORDS = 1000

Shape = TypeVar('Shape')

JSON_HEADERS = (('content-type', 'application/json'),)


class _Appended(msgspec.Struct):
    offset: Offset


class _Record(msgspec.Struct):
    offset: Offset
    at_ms: EpochMs
    value: msgspec.Raw


class _Page(msgspec.Struct):
    first: Offset
    next: Offset
    records: tuple[_Record, ...]


def make_http_log(*, client: httpx.AsyncClient, url: str) -> LogService:
    """Make the log service that an entry host uses.

    Args:
        client: The HTTP client; its timeout bounds each append and read.
        url: The base address of the service.
    """

    async def append(stream: StreamName, body: bytes) -> Offset:
        answer = await _ask(
            client,
            client.build_request(
                'POST',
                f'{url}/streams/{stream}/records',
                content=body,
                headers=JSON_HEADERS,
            ),
        )
        return _decode(answer, _Appended).offset

    async def read(stream: StreamName, start: Offset, wait: Seconds) -> LogPage:
        answer = await _ask(
            client,
            client.build_request(
                'GET',
                f'{url}/streams/{stream}/records',
                params={
                    'from': start,
                    'limit': PAGE_RECORDS,
                    'wait_ms': int(wait * MS_PER_SECOND),
                },
            ),
        )
        return _convert_page(_decode(answer, _Page))

    return LogService(append=append, read=read)


async def _ask(client: httpx.AsyncClient, request: httpx.Request) -> bytes:
    try:
        answer = await client.send(request)
    except httpx.HTTPError as error:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, repr(error)
        ) from error
    if answer.status_code != httpx.codes.OK:
        raise EbonystreamError(
            ErrorKind.LOG_UNAVAILABLE, f'status {answer.status_code}'
        )
    return answer.content


def _decode(body: bytes, shape: type[Shape]) -> Shape:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, str(error)) from error


def _convert_page(page: _Page) -> LogPage:
    return LogPage(
        first=page.first,
        next=page.next,
        records=tuple(
            LogRecord(one.offset, one.at_ms, bytes(one.value))
            for one in page.records
        ),
    )
