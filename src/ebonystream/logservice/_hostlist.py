"""Client for the platform's host list, which lags behind the actual hosts."""

import enum
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import attrs
import httpx
import msgspec

from ebonystream._ids import ServiceName, VersionName, ZoneName
from ebonystream._responsecheck import check_status_line
from ebonystream.errors import EbonystreamError, ErrorKind


class HostRole(enum.Enum):
    """Role of a listed host."""

    BACKEND = 'backend'
    ENTRY = 'entry'


class HostState(enum.Enum):
    """State of a host according to the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedHost(msgspec.Struct, frozen=True):
    """One entry of the host list.

    Attributes:
        name: The name of the host.
        role: Whether it is a backend server or an entry host.
        address: Its IP address.
        port: The port on which a backend server accepts calls, or an entry
            host accepts its peers.
        zone: The availability zone of the host.
        service: The service of a backend server.
        version: The version of a backend server.
        state: Whether the host is live or leaving.
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

Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE` if the platform returns
no valid response.
"""


@attrs.define
class _CachedHostList:
    """The latest host list that was received.

    Attributes:
        etag: The entity tag of the list; empty if the platform sent none.
        hosts: The hosts.
    """

    etag: str = ''
    hosts: tuple[ListedHost, ...] = ()

    def update(self, response: httpx.Response) -> None:
        """Replace the list by that of a response, unless it is unmodified.

        Args:
            response: The response of the platform.

        Raises:
            EbonystreamError: `LOG_UNAVAILABLE`, if the status is another one.
            msgspec.MsgspecError: If the list is malformed.
        """
        if self.etag and response.status_code == HTTPStatus.NOT_MODIFIED:
            return
        if response.status_code != HTTPStatus.OK:
            raise EbonystreamError(
                ErrorKind.LOG_UNAVAILABLE, f'status {response.status_code}'
            )
        host_list = msgspec.json.decode(response.content, type=_HostList)
        self.hosts = host_list.hosts
        self.etag = response.headers.get('etag', '')


def make_read_hosts(*, client: httpx.AsyncClient, url: str) -> ReadHosts:
    """Return the function that reads the host list.

    If the platform sends an `ETag`, the list is transferred only when it has
    changed.

    Args:
        client: The HTTP client; its timeout limits each read.
        url: The base address of the list.
    """
    cached = _CachedHostList()

    async def read_hosts() -> tuple[ListedHost, ...]:
        headers = {'if-none-match': cached.etag} if cached.etag else {}
        try:
            response = await client.get(f'{url}/hosts', headers=headers)
            check_status_line(response)
            cached.update(response)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise EbonystreamError(
                ErrorKind.LOG_UNAVAILABLE, repr(error)
            ) from error
        return cached.hosts

    return read_hosts
