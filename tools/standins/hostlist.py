"""The platform's host list, which shows each change after a configurable lag.

`PUT /control/hosts` adds or replaces one host, `DELETE /control/hosts/{name}`
removes one, and `PUT /control/lag_s` sets the lag in seconds. `GET /hosts`
shows a change once the lag has passed; a request with a matching
`If-None-Match` gets status 304.
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

from standins.http import Request, Response, make_json_response, serve_http

ClockSeconds = Callable[[], float]


class Role(enum.Enum):
    """Role of a host."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostState(enum.Enum):
    """State of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the host list.

    Attributes:
        name: Name of the host.
        role: Whether it is a backend server or an entry host.
        address: IP address of the host.
        port: Port on which a backend server accepts calls, or an entry host
            accepts its peers.
        zone: Availability zone of the host.
        service: Service of a backend server.
        version: Version that a backend server runs.
        state: Whether the host is live or leaving.
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
    """Response to `GET /hosts`.

    Attributes:
        hosts: The hosts that were listed one lag ago.
    """

    hosts: list[Host]


@attrs.frozen
class Snapshot:
    """The hosts after one change.

    Attributes:
        changed_at: Time of the change, in seconds.
        hosts: The hosts by name.
    """

    changed_at: float
    hosts: dict[str, Host]


@attrs.define
class HostList:
    """All hosts, with the changes that are not visible yet.

    Attributes:
        clock: Returns the time, in seconds.
        lag_s: Delay until a change is visible, in seconds.
        snapshots: The hosts after each change, oldest first; the first is
            visible at any lag.
    """

    clock: ClockSeconds
    lag_s: float = 0
    snapshots: list[Snapshot] = attrs.field(
        factory=lambda: [Snapshot(float('-inf'), {})],
    )

    def replace_all(self, hosts: list[Host]) -> None:
        """Replace all hosts, visible at once.

        Args:
            hosts: The new hosts.
        """
        by_name = {host.name: host for host in hosts}
        self.snapshots = [Snapshot(float('-inf'), by_name)]

    def put(self, host: Host) -> None:
        """Add a host, or replace the one of the same name.

        Args:
            host: The new entry.
        """
        self._append_snapshot(self.snapshots[-1].hosts | {host.name: host})

    def remove(self, name: str) -> None:
        """Remove a host.

        Args:
            name: Name of the host.
        """
        hosts = dict(self.snapshots[-1].hosts)
        hosts.pop(name, None)
        self._append_snapshot(hosts)

    def list_visible(self) -> list[Host]:
        """Return the hosts that were listed one lag ago."""
        latest = self.clock() - self.lag_s
        visible = [
            snapshot
            for snapshot in self.snapshots
            if snapshot.changed_at <= latest
        ]
        return list(visible[-1].hosts.values())

    def _append_snapshot(self, hosts: dict[str, Host]) -> None:
        self.snapshots.append(Snapshot(self.clock(), hosts))


class HostHandler:
    """Serves one host list over HTTP.

    Attributes:
        host_list: The host list.
    """

    def __init__(self, host_list: HostList) -> None:
        self.host_list = host_list

    async def handle(self, request: Request) -> Response:
        """Respond to one request.

        Args:
            request: The complete request.
        """
        await trio.lowlevel.checkpoint()
        match (request.method, *request.path.split('/')):
            case ('GET', '', 'hosts'):
                return self._respond_with_hosts(request)
            case ('PUT', '', 'control', 'hosts'):
                self.host_list.put(msgspec.json.decode(request.body, type=Host))
            case ('DELETE', '', 'control', 'hosts', name):
                self.host_list.remove(name)
            case ('PUT', '', 'control', 'lag_s'):
                lag_s = msgspec.json.decode(request.body, type=float)
                self.host_list.lag_s = lag_s
            case _:
                return Response(status=HTTPStatus.NOT_FOUND)
        return Response(status=HTTPStatus.NO_CONTENT)

    def _respond_with_hosts(self, request: Request) -> Response:
        page = make_json_response(HostPage(self.host_list.list_visible()))
        etag = f'"{xxhash.xxh3_64_hexdigest(page.body)}"'
        etag_header = ('etag', etag)
        if request.headers.get('if-none-match') == etag:
            return Response(
                status=HTTPStatus.NOT_MODIFIED, headers=(etag_header,)
            )
        return attrs.evolve(page, headers=(*page.headers, etag_header))


def serve(
    port: int,
    hosts: Annotated[Path | None, typer.Option()] = None,
    lag_s: Annotated[float, typer.Option()] = 0,
    host: str = '127.0.0.1',
) -> None:
    """Run the host list until it is stopped.

    Args:
        port: The port to listen on.
        hosts: JSON file with the initial hosts, in the form of a response to
            `GET /hosts`.
        lag_s: Delay until a change is visible, in seconds.
        host: The IP address to listen on.
    """
    host_list = HostList(time.monotonic, lag_s)
    if hosts is not None:
        page = msgspec.json.decode(hosts.read_bytes(), type=HostPage)
        host_list.replace_all(page.hosts)
    trio.run(serve_http, HostHandler(host_list).handle, host, port)


if __name__ == '__main__':
    typer.run(serve)
