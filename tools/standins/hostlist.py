"""The platform's host list, which lags behind what it was told.

`PUT /control/hosts` adds or replaces one host, `DELETE /control/hosts/{name}`
takes one off, and `PUT /control/lag_s` sets the lag in seconds. What was told
shows up in `GET /hosts` once the lag has passed; a request that names its
`ETag` is answered with status 304 while nothing has changed.
"""

import enum
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import attrs
import msgspec
import trio
import typer
import xxhash

from standins.http import Request, Response, respond, serve_http

ClockSeconds = Callable[[], float]


class Role(enum.Enum):
    """What a host does."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostState(enum.Enum):
    """Whether a host is about to leave."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One host, as the list shows it.

    Attributes:
        name: Names the host.
        role: What it does.
        address: Its IP address.
        port: Where it serves; for an entry host its peer port.
        zone: Its availability zone.
        service: What a backend server serves.
        version: The version that a backend server runs.
        state: Whether it is about to leave.
    """

    name: str
    role: Role
    address: str
    port: int
    zone: str
    service: str = ''
    version: str = ''
    state: HostState = HostState.LIVE


class HostPage(msgspec.Struct):
    """The answer to `GET /hosts`.

    Attributes:
        hosts: The hosts as known one lag ago.
    """

    hosts: list[Host]


@attrs.frozen
class Snapshot:
    """The hosts from one moment on.

    Attributes:
        since: The moment, in seconds.
        hosts: The hosts by name.
    """

    since: float
    hosts: dict[str, Host]


@attrs.define
class HostList:
    """Every host, and what is shown of them.

    Attributes:
        clock: Reads the time, in seconds.
        lag_s: How far the shown list is behind.
        snapshots: What was told, oldest first; the first is always shown.
    """

    clock: ClockSeconds
    lag_s: float = 0
    snapshots: list[Snapshot] = attrs.field(
        factory=lambda: [Snapshot(float('-inf'), {})],
    )

    def begin(self, hosts: list[Host]) -> None:
        """Show these hosts at once, without lag.

        Args:
            hosts: The hosts to begin with.
        """
        named = {host.name: host for host in hosts}
        self.snapshots = [Snapshot(float('-inf'), named)]

    def put(self, host: Host) -> None:
        """Add a host, or replace the one of the same name.

        Args:
            host: The host as it is now.
        """
        self._tell(self.snapshots[-1].hosts | {host.name: host})

    def remove(self, name: str) -> None:
        """Take a host off the list.

        Args:
            name: Names the host.
        """
        hosts = dict(self.snapshots[-1].hosts)
        hosts.pop(name, None)
        self._tell(hosts)

    def shown(self) -> list[Host]:
        """Give the hosts as they were one lag ago."""
        horizon = self.clock() - self.lag_s
        past = [told for told in self.snapshots if told.since <= horizon]
        return list(past[-1].hosts.values())

    def _tell(self, hosts: dict[str, Host]) -> None:
        self.snapshots.append(Snapshot(self.clock(), hosts))


class HostHandler:
    """Answers the requests of one host list.

    Attributes:
        hosts: The hosts and what is shown of them.
    """

    def __init__(self, hosts: HostList) -> None:
        self.hosts = hosts

    async def handle(self, request: Request) -> Response:
        """Answer one request.

        Args:
            request: The whole request.
        """
        await trio.lowlevel.checkpoint()
        match (request.method, *request.path.split('/')):
            case ('GET', '', 'hosts'):
                return self._show(request)
            case ('PUT', '', 'control', 'hosts'):
                self.hosts.put(msgspec.json.decode(request.body, type=Host))
            case ('DELETE', '', 'control', 'hosts', name):
                self.hosts.remove(name)
            case ('PUT', '', 'control', 'lag_s'):
                lag_s = msgspec.json.decode(request.body, type=float)
                self.hosts.lag_s = lag_s
            case _:
                return Response(status=HTTPStatus.NOT_FOUND)
        return Response(status=HTTPStatus.NO_CONTENT)

    def _show(self, request: Request) -> Response:
        page = respond(HostPage(self.hosts.shown()))
        etag = f'"{xxhash.xxh3_64_hexdigest(page.body)}"'
        named = ('etag', etag)
        if request.headers.get('if-none-match') == etag:
            return Response(status=HTTPStatus.NOT_MODIFIED, headers=(named,))
        return attrs.evolve(page, headers=(*page.headers, named))


def serve(
    port: int,
    hosts: Annotated[Path | None, typer.Option()] = None,
    lag_s: Annotated[float, typer.Option()] = 0,
    host: str = '127.0.0.1',
) -> None:
    """Run the host list until it is stopped.

    Args:
        port: The port to listen on.
        hosts: A JSON file like the answer to `GET /hosts`, to begin with.
        lag_s: How far the list lags, in seconds.
        host: The IP address to listen on.
    """
    listed = HostList(time.monotonic, lag_s)
    if hosts is not None:
        page = msgspec.json.decode(hosts.read_bytes(), type=HostPage)
        listed.begin(page.hosts)
    trio.run(serve_http, HostHandler(listed).handle, host, port)


if __name__ == '__main__':
    typer.run(serve)
