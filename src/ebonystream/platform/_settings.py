"""Decoding of the settings file that the platform gives each process."""

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, ZoneName
from ebonystream.entryhost import HostLimits, HostSettings
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
    """Decode a settings file.

    Args:
        content: The content of the file, in JSON.

    Raises:
        FormatError: If any setting is missing or invalid.
    """
    settings = decode_json(content, _Settings)
    listen = settings.network.listen
    return HostSettings(
        name=HostId(settings.local.node_name),
        zone=ZoneName(settings.local.zone),
        caller_endpoint=parse_address(listen.front),
        readiness_endpoint=parse_address(listen.ready),
        peer_endpoint=ServerAddress(
            settings.local.ip, settings.network.internal_ports[0]
        ),
        seeds=tuple(parse_address(seed) for seed in settings.network.seeds),
        store_endpoint=parse_address(settings.platform.platform.address),
        limits=_decode_limits(settings.terms.bounds),
    )


def _decode_limits(bounds: _Bounds) -> HostLimits:
    return HostLimits(
        shutdown_grace=parse_duration(bounds.grace),
        retry_ratio=bounds.retry_budget_ratio,
        base_retries=bounds.retry_budget_slack,
        retry_window=parse_duration(bounds.budget_window),
    )
