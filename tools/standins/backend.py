"""Many backend servers in one process, a port for each, and a control port.

On the control port, `{name}` names a server:

- `GET /control/counts`: how often each idempotency key ran, over all servers.
- `GET /control/{name}`: its state.
- `PUT /control/{name}/faults`: slow down, fail, crash on a body, mislead.
- `POST /control/{name}/{verb}`: `drain`, `serve`, `restart` (cold at once),
  `crash` (cold after a pause, connections cut) or `cut` (connections only).
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
    Counts,
    Crashed,
    Faults,
    Ledger,
    Refused,
    ServerSettings,
    ServerState,
    Work,
    make_server,
)
from standins.http import (
    Connections,
    HangUp,
    Header,
    Request,
    Response,
    respond,
    serve_http,
)

HEALTH_PATH = '/-/health'
UNLIMITED_MS = 'inf'


class ProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What one process runs.

    Attributes:
        host: The IP address to listen on.
        control_port: The port of the control requests.
        servers: The backend servers.
        seed: Seeds the draws of every server.
        boot: Makes the boot ids of this process its own.
    """

    host: str = '127.0.0.1'
    control_port: int
    servers: list[ServerSettings]
    seed: int = 1
    boot: str = 'boot'


class Health(msgspec.Struct):
    """The answer to a health probe.

    Attributes:
        state: What the server says of itself.
        boot_id: Names this run of the server.
        in_flight: How many calls it has in hand.
        answered: How many calls it answered since it started.
    """

    state: ServerState
    boot_id: str
    in_flight: int
    answered: int


class Echo(msgspec.Struct):
    """The body of each answered call.

    Attributes:
        tag: The `X-Request-Tag` of the request that it answers.
        server: Names the server that ran the call.
    """

    tag: str
    server: str


@attrs.define
class Post:
    """One backend server with its connections.

    Attributes:
        server: The server and its rules.
        boot: Begins each of its boot ids.
        connections: Its open connections.
    """

    server: BackendServer
    boot: str
    connections: Connections = attrs.field(factory=Connections)

    @property
    def boot_id(self) -> str:
        """Names this run of the server."""
        return f'{self.boot}-{self.server.settings.name}-{self.server.boots}'

    async def greet(self) -> None:
        """Take what a new connection costs.

        Raises:
            HangUp: The server has crashed and is not back yet.
        """
        if self.server.down:
            raise HangUp
        await self.server.connect()

    async def handle(self, request: Request) -> Response:
        """Answer a call or a health probe.

        Args:
            request: The whole request.

        Raises:
            HangUp: The call crashed the server.
        """
        if request.path == HEALTH_PATH:
            return await self._probe()
        try:
            good = await self.server.run(_read_work(request))
        except Refused:
            return self._refuse()
        except Crashed as crashed:
            self.crash()
            raise HangUp from crashed
        return self._echo(request, good=good)

    def crash(self) -> None:
        """Crash the server and cut its connections."""
        self.server.crash()
        self.connections.cut()

    def health(self) -> Health:
        """Tell the true state of the server."""
        server = self.server
        return Health(
            state=server.state,
            boot_id=self.boot_id,
            in_flight=server.in_flight,
            answered=server.answered,
        )

    async def _probe(self) -> Response:
        await self.server.probe()
        health = self.health()
        health.state = self.server.faults.health_says or health.state
        return respond(health)

    def _refuse(self) -> Response:
        return Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers=(('x-not-run', 'true'), *self._headers()),
        )

    def _echo(self, request: Request, *, good: bool) -> Response:
        tag = request.headers.get('x-request-tag', '')
        body = msgspec.json.encode(Echo(tag, self.server.settings.name))
        return Response(
            status=HTTPStatus.OK if good else HTTPStatus.INTERNAL_SERVER_ERROR,
            headers=(('content-type', 'application/json'), *self._headers()),
            body=body,
        )

    def _headers(self) -> tuple[Header, ...]:
        return (
            ('x-boot-id', self.boot_id),
            ('x-in-flight', str(self.server.in_flight)),
            ('x-server-state', self.server.state.value),
        )


def _read_work(request: Request) -> Work:
    left_ms = float(request.headers.get('x-deadline-ms', UNLIMITED_MS))
    return Work(
        route=request.headers.get('x-route', ''),
        key=request.headers.get('idempotency-key', ''),
        body=request.body,
        deadline=trio.current_time() + left_ms / MS_PER_SECOND,
    )


VERBS: Mapping[str, Callable[[Post], None]] = MappingProxyType(
    {
        'drain': lambda post: _enter(post, ServerState.DRAINING),
        'serve': lambda post: _enter(post, ServerState.SERVING),
        'restart': lambda post: post.server.restart(),
        'crash': lambda post: post.crash(),
        'cut': lambda post: post.connections.cut(),
    },
)


def _enter(post: Post, state: ServerState) -> None:
    post.server.state = state


@attrs.define
class ControlHandler:
    """Answers the control requests of one process.

    Attributes:
        posts: The servers of the process by name.
        ledger: Counts the runs of them all.
    """

    posts: Mapping[str, Post]
    ledger: Ledger

    async def handle(self, request: Request) -> Response:
        """Answer one control request.

        Args:
            request: The whole request.
        """
        await trio.lowlevel.checkpoint()
        match (request.method, *request.path.split('/')):
            case ('GET', '', 'control', 'counts'):
                return respond(self.counts())
            case ('GET', '', 'control', name) if name in self.posts:
                return respond(self.posts[name].health())
            case ('PUT', '', 'control', name, 'faults') if name in self.posts:
                faults = msgspec.json.decode(request.body, type=Faults)
                self.posts[name].server.faults = faults
            case ('POST', '', 'control', name, verb) if (
                name in self.posts and verb in VERBS
            ):
                VERBS[verb](self.posts[name])
            case _:
                return Response(status=HTTPStatus.NOT_FOUND)
        return Response(status=HTTPStatus.NO_CONTENT)

    def counts(self) -> Counts:
        """Tell how often each idempotency key ran."""
        return self.ledger.report()


def make_control(settings: ProcessSettings) -> ControlHandler:
    """Make the servers of one process and their control.

    Args:
        settings: What the process runs.
    """
    ledger = Ledger()
    posts = {
        built.name: Post(
            make_server(built, ledger, settings.seed),
            settings.boot,
        )
        for built in settings.servers
    }
    return ControlHandler(posts, ledger)


async def serve_backends(settings: ProcessSettings) -> None:
    """Run the servers of one process until cancelled.

    Args:
        settings: What the process runs.
    """
    control = make_control(settings)
    async with trio.open_nursery() as nursery:
        for post in control.posts.values():
            serve = partial(
                serve_http,
                greet=post.greet,
                connections=post.connections,
            )
            port = post.server.settings.port
            nursery.start_soon(serve, post.handle, settings.host, port)
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
