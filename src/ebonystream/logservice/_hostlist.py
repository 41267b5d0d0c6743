"""The platform's host list; it lags behind what is true."""

import enum
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
import httpx
import msgspec

from ebonystream._ids import ServiceName, VersionName, ZoneName
from ebonystream.errors import EbonystreamError, ErrorKind


class HostRole(enum.Enum):
    """What a listed host is."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostState(enum.Enum):
    """What the list says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedHost(msgspec.Struct, frozen=True):
    """One line of the host list.

    Attributes:
        name: The host's name.
        role: What it is.
        address: Its IP number.
        port: Where it listens: for calls, or for its peers.
        zone: The availability zone it stands in.
        service: The service of a backend server.
        version: The version of a backend server.
        state: What the list says of it.
    """

    name: str
    role: HostRole
    address: str
    port: int
    zone: ZoneName
    service: ServiceName
    version: VersionName
    state: HostState


class _HostList(msgspec.Struct):
    hosts: tuple[ListedHost, ...]


ReadHosts = Callable[[], Awaitable[tuple[ListedHost, ...]]]
"""Reads the host list.

Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE`: the platform does not
answer.
"""


@attrs.define
class _Reading:
    """The newest whole reading of the list.

    Attributes:
        etag: The platform's name for it; empty where it gave none.
        hosts: The hosts.
    """

    etag: str = ''
    hosts: tuple[ListedHost, ...] = ()

    def take(self, answer: httpx.Response) -> None:
        """Take an answer over, unless it says that nothing has changed."""
        if self.etag and answer.status_code == HTTPStatus.NOT_MODIFIED:
            return
        listed = msgspec.json.decode(answer.content, type=_HostList)
        self.hosts = listed.hosts
        self.etag = answer.headers.get('etag', '')


def make_host_reader(*, client: httpx.AsyncClient, url: str) -> ReadHosts:
    """Make the function that reads the host list.

    The list is sent whole only when it has changed, where the platform names
    its states by `ETag`.

    Args:
        client: The HTTP client; its timeout bounds each read.
        url: The base address of the list.
    """
    newest = _Reading()

    async def read_hosts() -> tuple[ListedHost, ...]:
        headers = {'if-none-match': newest.etag} if newest.etag else {}
        try:
            newest.take(await client.get(f'{url}/hosts', headers=headers))
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise EbonystreamError(
                ErrorKind.LOG_UNAVAILABLE, repr(error)
            ) from error
        return newest.hosts

    return read_hosts
