"""The log service over HTTP: a daemon around `standins.logstore`.

`GET /control` returns the settings of the service; `POST /control` changes the
fields that its body contains.
"""

import time
from http import HTTPStatus

import msgspec
import trio
import typer

from standins.http import (
    CloseWithoutResponse,
    Request,
    Response,
    make_json_response,
    serve_http,
)
from standins.logstore import (
    DEFAULT_READ_LIMIT,
    MS_PER_SECOND,
    LogStore,
    LogStoreSettings,
    Outage,
    RateExceeded,
    ResponseLost,
    ServiceDown,
)

CONTROL_PATH = '/control'
RECORDS_PARTS = ('streams', 'records')


class AppendResponse(msgspec.Struct):
    """Response to an append.

    Attributes:
        offset: Offset of the new record.
    """

    offset: int


class LogHandler:
    """Serves one log store over HTTP.

    Attributes:
        store: The log store.
    """

    def __init__(self, store: LogStore) -> None:
        self.store = store

    async def handle(self, request: Request) -> Response:
        """Respond to one request.

        Args:
            request: The complete request.

        Raises:
            CloseWithoutResponse: The response is lost, or the outage closes
                connections.
        """
        if request.path == CONTROL_PATH:
            return self._respond_to_control(request)
        try:
            return await self._serve(request)
        except RateExceeded:
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        except ResponseLost as response_lost:
            raise CloseWithoutResponse from response_lost
        except ServiceDown as service_down:
            if self.store.settings.outage is Outage.HANG_UP:
                raise CloseWithoutResponse from service_down
            return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)

    async def _serve(self, request: Request) -> Response:
        parts = request.path.split('/')
        if len(parts) == 4 and (parts[1], parts[3]) == RECORDS_PARTS:
            return await self._serve_stream(request, parts[2])
        return Response(status=HTTPStatus.NOT_FOUND)

    async def _serve_stream(self, request: Request, stream: str) -> Response:
        if request.method == 'POST':
            return await self._append(stream, request.body)
        query = request.query
        page = await self.store.read(
            stream,
            int(query.get('from', '0')),
            limit=int(query.get('limit', DEFAULT_READ_LIMIT)),
            wait_ms=float(query.get('wait_ms', '0')),
        )
        return make_json_response(page)

    async def _append(self, stream: str, body: bytes) -> Response:
        msgspec.json.decode(body)
        offset = await self.store.append(stream, msgspec.Raw(body))
        return make_json_response(AppendResponse(offset))

    def _respond_to_control(self, request: Request) -> Response:
        settings = self.store.settings
        if request.method == 'POST':
            change = msgspec.json.decode(request.body)
            fields = msgspec.structs.asdict(settings) | change
            settings = msgspec.convert(fields, LogStoreSettings)
            self.store.apply_settings(settings)
        return make_json_response(settings)


def read_clock_ms() -> int:
    """Return the wall-clock time, in milliseconds since the Unix epoch."""
    return int(time.time() * MS_PER_SECOND)


def serve(port: int, host: str = '127.0.0.1') -> None:
    """Run the log service until it is stopped.

    Args:
        port: The port to listen on.
        host: The IP address to listen on.
    """
    handler = LogHandler(LogStore(read_clock_ms))
    trio.run(serve_http, handler.handle, host, port)


if __name__ == '__main__':
    typer.run(serve)
