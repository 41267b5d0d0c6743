"""The platform's settings file of one process."""

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, ZoneName
from ebonystream.entryhost import HostSettings, SharedBounds
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import decode_json
from ebonystream.platform._servers import parse_address

SETTINGS_VARIABLE = 'EBONYSTREAM_SETTINGS'


class _Local(msgspec.Struct):
    node_name: str
    zone: str
    ip: str


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Network(msgspec.Struct):
    listen: _Listen
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()


class _Store(msgspec.Struct):
    address: str


class _Platform(msgspec.Struct):
    platform: _Store


class _Bounds(msgspec.Struct):
    grace: str = '6s'
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    budget_window: str = '10s'


class _Terms(msgspec.Struct):
    bounds: _Bounds


class _Settings(msgspec.Struct):
    local: _Local
    network: _Network
    platform: _Platform
    terms: _Terms


def decode_settings(content: bytes) -> HostSettings:
    """Read a settings file.

    Args:
        content: The file.

    Raises:
        FormatError: It can't be read whole.
    """
    sent = decode_json(content, _Settings)
    listen = sent.network.listen
    return HostSettings(
        name=HostId(sent.local.node_name),
        zone=ZoneName(sent.local.zone),
        callers=parse_address(listen.front),
        readiness=parse_address(listen.ready),
        peers=ServerAddress(sent.local.ip, sent.network.internal_ports[0]),
        seeds=tuple(parse_address(seed) for seed in sent.network.seeds),
        store=parse_address(sent.platform.platform.address),
        bounds=_decode_bounds(sent.terms.bounds),
    )


def _decode_bounds(sent: _Bounds) -> SharedBounds:
    return SharedBounds(
        grace=parse_duration(sent.grace),
        repeat_ratio=sent.retry_budget_ratio,
        repeat_slack=sent.retry_budget_slack,
        repeat_window=parse_duration(sent.budget_window),
    )
