"""The configuration that operators write."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from ebonystream._calls import CallKind
from ebonystream._ids import (
    ConfigurationVersion,
    RouteName,
    Seconds,
    ServiceName,
)
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.route import (
    RequestLimits,
    Route,
    RouteConfiguration,
    ServiceSettings,
    Share,
    index_routes,
)

CONFIGURATION_KEY = 'config'
CALL_KINDS: Mapping[str, CallKind] = MappingProxyType(
    {
        'idempotent': CallKind.IDEMPOTENT,
        'non_idempotent': CallKind.AT_MOST_ONCE,
    }
)
DEFAULT_REQUEST_LIMITS = RequestLimits(
    head_bytes=16_384,
    body_bytes=67_108_864,
    receive=Seconds(3),
    idle=Seconds(15),
)


class _Metadata(msgspec.Struct):
    name: str = ''


class _Resource(msgspec.Struct):
    """One item of the configuration; its kind tells what its spec holds."""

    resource_kind: str
    metadata: _Metadata
    spec: msgspec.Raw


class _Resources(msgspec.Struct):
    version: int
    resources: tuple[_Resource, ...]


class _Part(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    timeout: str
    target_latency: str
    max_attempts: int
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[_Part, ...] = ()


class _Service(msgspec.Struct):
    health_path: str
    max_conns: int
    cold_start: str = '0ms'
    cold_per_s: float = 0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


def decode_configuration(content: bytes) -> RouteConfiguration:
    """Read a configuration.

    Args:
        content: What stands in the store.

    Raises:
        FormatError: It can't be read whole.
    """
    sent = decode_json(content, _Resources)
    limits = [
        _decode_limits(decode_json(one.spec, _Limits))
        for one in _filter(sent, 'limits')
    ]
    services = {
        ServiceName(one.metadata.name): _decode_service(
            decode_json(one.spec, _Service)
        )
        for one in _filter(sent, 'services')
    }
    routes = [
        _decode_route(one.metadata.name, decode_json(one.spec, _Route))
        for one in _filter(sent, 'routes')
    ]
    return RouteConfiguration(
        version=ConfigurationVersion(sent.version),
        routes=index_routes(routes),
        services=services,
        limits=limits[0] if limits else DEFAULT_REQUEST_LIMITS,
    )


def _filter(sent: _Resources, kind: str) -> Iterable[_Resource]:
    return (one for one in sent.resources if one.resource_kind == kind)


def _decode_route(name: str, sent: _Route) -> Route:
    if sent.kind not in CALL_KINDS:
        raise FormatError(f'kind {sent.kind!r}')
    shares = tuple(
        Share(ServiceName(part.service), part.weight)
        for part in sent.traffic_split
    )
    if sent.service is not None:
        shares = (Share(ServiceName(sent.service), 1),)
    if not shares:
        raise FormatError(f'route {name!r} names no service')
    return Route(
        name=RouteName(name),
        host=sent.host.lower(),
        prefix=sent.path_prefix,
        kind=CALL_KINDS[sent.kind],
        timeout=parse_duration(sent.timeout),
        objective=parse_duration(sent.target_latency),
        attempts=sent.max_attempts,
        rank=sent.priority,
        shares=shares,
    )


def _decode_service(sent: _Service) -> ServiceSettings:
    return ServiceSettings(
        health_path=sent.health_path,
        max_connections=sent.max_conns,
        cold_start=parse_duration(sent.cold_start),
        cold_rate=sent.cold_per_s,
    )


def _decode_limits(sent: _Limits) -> RequestLimits:
    return RequestLimits(
        head_bytes=sent.max_header_bytes,
        body_bytes=sent.max_body_bytes,
        receive=parse_duration(sent.header_timeout),
        idle=parse_duration(sent.idle_timeout),
    )
