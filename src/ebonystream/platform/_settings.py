"""Decoding of the settings file that the platform gives each process."""

from typing import Annotated

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, ZoneName
from ebonystream._validation import MAX_PORT
from ebonystream.entryhost import HostLimits, HostSettings
from ebonystream.placement import ColdLimits
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import decode_json, reject_invalid_values
from ebonystream.platform._process_limits import ProcessLimits
from ebonystream.platform._servers import parse_address
from ebonystream.platform._usage_settings import (
    Cloud,
    UsageBounds,
    decode_usage,
)

SETTINGS_VARIABLE = 'EBONYSTREAM_SETTINGS'

MAX_PEER_PORT = MAX_PORT - 1
"""The port after it is used as well."""

MAX_COLD_BOUND = 1_000_000
_ColdBound = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_BOUND)]

_PeerPort = Annotated[int, msgspec.Meta(ge=1, le=MAX_PEER_PORT)]


class _Local(msgspec.Struct):
    node_name: str
    zone: str
    ip: str
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Network(msgspec.Struct):
    listen: _Listen
    internal_ports: tuple[_PeerPort, _PeerPort]
    seeds: tuple[str, ...] = ()


class _Store(msgspec.Struct):
    address: str


class _Platform(msgspec.Struct):
    platform: _Store
    cloud: Cloud | None = None


class _Bounds(UsageBounds):
    grace: str = '6s'
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 20
    budget_window: str = '10s'
    probes_per_s: float = 60
    cold_overshoot: _ColdBound = 1.5
    cold_slack: _ColdBound = 5
    strict_revoke: bool = False
    revoke: str = '5s'
    config_apply: str = '2s'


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
    with reject_invalid_values():
        return _make_settings(settings)


def _make_settings(settings: _Settings) -> HostSettings:
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
        limits=_decode_limits(settings.terms.bounds, settings.local.limits),
        usage=decode_usage(settings.platform.cloud, settings.terms.bounds),
    )


def _decode_limits(bounds: _Bounds, process: ProcessLimits) -> HostLimits:
    return HostLimits(
        shutdown_grace=parse_duration(bounds.grace),
        retry_ratio=bounds.retry_budget_ratio,
        base_retries=bounds.retry_budget_slack,
        retry_window=parse_duration(bounds.budget_window),
        probe_rate=bounds.probes_per_s,
        cold_limits=ColdLimits(
            overshoot=bounds.cold_overshoot, slack=bounds.cold_slack
        ),
        response_buffer_bytes=process.compute_response_memory(),
        client_memory_bytes=process.compute_client_memory(),
        max_descriptors=process.max_fds,
        revoke=parse_duration(bounds.revoke) if bounds.strict_revoke else None,
        apply_time=parse_duration(bounds.config_apply),
    )
