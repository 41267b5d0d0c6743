"""The platform's host list; it lags behind what is true."""

import enum
from collections.abc import Awaitable, Callable

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


def make_host_reader(*, client: httpx.AsyncClient, url: str) -> ReadHosts:
    """Make the function that reads the host list.

    Args:
        client: The HTTP client; its timeout bounds each read.
        url: The base address of the list.
    """

    async def read_hosts() -> tuple[ListedHost, ...]:
        try:
            answer = await client.get(f'{url}/hosts')
            return msgspec.json.decode(answer.content, type=_HostList).hosts
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise EbonystreamError(
                ErrorKind.LOG_UNAVAILABLE, repr(error)
            ) from error

    return read_hosts
