"""Backend servers in one process, one port for each, and a control port.

Requests on the control port, where `{name}` is the name of a server:

- `GET /control/counts`: how often each idempotency key ran on all servers.
- `GET /control/{name}`: the state of the server.
- `PUT /control/{name}/faults`: set the faults of the server, see `Faults`.
- `POST /control/{name}/{verb}`: `drain`, `serve`, `restart` (cold at once),
  `crash` (closes connections, cold after the restart time) or `cut` (only
  closes connections).
"""

from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType

import attrs
import msgspec
import trio
import typer

from standins.backendserver import (
    MS_PER_SECOND,
    BackendServer,
    Crashed,
    Faults,
    Refused,
    RunCounter,
    RunCounts,
    ServerCall,
    ServerSettings,
    ServerState,
    make_server,
)
from standins.http import (
    CloseWithoutResponse,
    Connections,
    Header,
    Request,
    Response,
    make_json_response,
    serve_http,
)

HEALTH_PATH = '/-/health'
NO_DEADLINE_MS = 'inf'


class ProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a process that runs backend servers.

    Attributes:
        host: The IP address to listen on.
        control_port: The port for control requests.
        servers: The backend servers.
        seed: Seed of the random numbers of every server.
        boot: Prefix that makes the boot ids of this process unique.
    """

    host: str = '127.0.0.1'
    control_port: int
    servers: list[ServerSettings]
    seed: int = 1
    boot: str = 'boot'


class Health(msgspec.Struct):
    """The response to a health probe.

    Attributes:
        state: The state that the server reports.
        boot_id: Id of the current start of the server.
        in_flight: Number of calls in flight.
        answered: Number of calls answered since the server started.
    """

    state: ServerState
    boot_id: str
    in_flight: int
    answered: int


class Echo(msgspec.Struct):
    """The body of the response to a call that ran.

    Attributes:
        tag: The `X-Request-Tag` of the request.
        server: Name of the server that ran the call.
    """

    tag: str
    server: str


@attrs.define
class ServerEndpoint:
    """The HTTP interface of a backend server.

    Attributes:
        server: The backend server.
        boot_id_prefix: Prefix of its boot ids.
        connections: Its open connections.
    """

    server: BackendServer
    boot_id_prefix: str
    connections: Connections = attrs.field(factory=Connections)

    @property
    def boot_id(self) -> str:
        """Id of the current start of the server."""
        return (
            f'{self.boot_id_prefix}-{self.server.settings.name}'
            f'-{self.server.starts}'
        )

    async def accept(self) -> None:
        """Accept a new connection after its connection cost.

        Raises:
            CloseWithoutResponse: The server has crashed and has not restarted
                yet.
        """
        if self.server.is_down:
            raise CloseWithoutResponse
        await self.server.connect()

    async def handle(self, request: Request) -> Response:
        """Respond to a call or a health probe.

        Args:
            request: The complete request.

        Raises:
            CloseWithoutResponse: The call crashed the server.
        """
        if request.path == HEALTH_PATH:
            return await self._answer_probe()
        try:
            succeeded = await self.server.run(_parse_call(request))
        except Refused:
            return self._make_refusal()
        except Crashed as crashed:
            self.crash()
            raise CloseWithoutResponse from crashed
        return self._make_echo(request, succeeded=succeeded)

    def crash(self) -> None:
        """Crash the server and close its connections."""
        self.server.crash()
        self.connections.close_all()

    def read_health(self) -> Health:
        """Return the true state of the server; faults do not change it."""
        server = self.server
        return Health(
            state=server.state,
            boot_id=self.boot_id,
            in_flight=server.in_flight,
            answered=server.answered,
        )

    async def _answer_probe(self) -> Response:
        await self.server.probe()
        health = self.read_health()
        health.state = self.server.faults.health_says or health.state
        return make_json_response(health)

    def _make_refusal(self) -> Response:
        return Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=(('x-not-run', 'true'), *self._make_headers()),
        )

    def _make_echo(self, request: Request, *, succeeded: bool) -> Response:
        tag = request.headers.get('x-request-tag', '')
        body = msgspec.json.encode(Echo(tag, self.server.settings.name))
        return Response(
            status=HTTPStatus.OK
            if succeeded
            else HTTPStatus.INTERNAL_SERVER_ERROR,
            headers=(
                ('content-type', 'application/json'),
                *self._make_headers(),
            ),
            body=body,
        )

    def _make_headers(self) -> tuple[Header, ...]:
        return (
            ('x-boot-id', self.boot_id),
            ('x-in-flight', str(self.server.in_flight)),
            ('x-server-state', self.server.state.value),
        )


def _parse_call(request: Request) -> ServerCall:
    remaining_ms = float(request.headers.get('x-deadline-ms', NO_DEADLINE_MS))
    return ServerCall(
        route=request.headers.get('x-route', ''),
        key=request.headers.get('idempotency-key', ''),
        body=request.body,
        deadline=trio.current_time() + remaining_ms / MS_PER_SECOND,
    )


CONTROL_ACTIONS: Mapping[str, Callable[[ServerEndpoint], None]] = (
    MappingProxyType(
        {
            'drain': lambda endpoint: _set_state(
                endpoint, ServerState.DRAINING
            ),
            'serve': lambda endpoint: _set_state(endpoint, ServerState.SERVING),
            'restart': lambda endpoint: endpoint.server.restart(),
            'crash': lambda endpoint: endpoint.crash(),
            'cut': lambda endpoint: endpoint.connections.close_all(),
        },
    )
)


def _set_state(endpoint: ServerEndpoint, state: ServerState) -> None:
    endpoint.server.state = state


@attrs.define
class ControlHandler:
    """Handles the control requests of one process.

    Attributes:
        endpoints: The servers of the process by name.
        run_counter: Counts the runs on all servers.
    """

    endpoints: Mapping[str, ServerEndpoint]
    run_counter: RunCounter

    async def handle(self, request: Request) -> Response:
        """Respond to a control request.

        Args:
            request: The complete request.
        """
        await trio.lowlevel.checkpoint()
        match (request.method, *request.path.split('/')):
            case ('GET', '', 'control', 'counts'):
                return make_json_response(self.count_runs())
            case ('GET', '', 'control', name) if name in self.endpoints:
                return make_json_response(self.endpoints[name].read_health())
            case ('PUT', '', 'control', name, 'faults') if (
                name in self.endpoints
            ):
                faults = msgspec.json.decode(request.body, type=Faults)
                self.endpoints[name].server.faults = faults
            case ('POST', '', 'control', name, verb) if (
                name in self.endpoints and verb in CONTROL_ACTIONS
            ):
                CONTROL_ACTIONS[verb](self.endpoints[name])
            case _:
                return Response(status=HTTPStatus.NOT_FOUND)
        return Response(status=HTTPStatus.NO_CONTENT)

    def count_runs(self) -> RunCounts:
        """Return how often each idempotency key ran."""
        return self.run_counter.report()


def make_control_handler(settings: ProcessSettings) -> ControlHandler:
    """Create the servers of one process and their control handler.

    Args:
        settings: The settings of the process.
    """
    run_counter = RunCounter()
    endpoints = {
        server_settings.name: ServerEndpoint(
            make_server(server_settings, run_counter, settings.seed),
            settings.boot,
        )
        for server_settings in settings.servers
    }
    return ControlHandler(endpoints, run_counter)


async def serve_backends(settings: ProcessSettings) -> None:
    """Run the servers of one process until cancelled.

    Args:
        settings: The settings of the process.
    """
    control = make_control_handler(settings)
    async with trio.open_nursery() as nursery:
        for endpoint in control.endpoints.values():
            serve = partial(
                serve_http,
                on_connect=endpoint.accept,
                connections=endpoint.connections,
            )
            port = endpoint.server.settings.port
            nursery.start_soon(serve, endpoint.handle, settings.host, port)
        await serve_http(control.handle, settings.host, settings.control_port)


def serve(settings: Path) -> None:
    """Run the backend servers of a settings file until stopped.

    Args:
        settings: The JSON settings file.
    """
    encoded = settings.read_bytes()
    trio.run(
        serve_backends,
        msgspec.json.decode(encoded, type=ProcessSettings),
    )


if __name__ == '__main__':
    typer.run(serve)
