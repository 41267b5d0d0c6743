"""Decoding of the configuration that operators write."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from ebonystream._calls import CallKind
from ebonystream._ids import (
    ConfigurationVersion,
    RouteName,
    Seconds,
    ServiceName,
)
from ebonystream._validation import quote
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import (
    FormatError,
    decode_json,
    reject_invalid_values,
)
from ebonystream.platform._workspaces import (
    WORKSPACE_KIND,
    decode_workspace,
)
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
        'upload': CallKind.AT_MOST_ONCE,
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
    """One resource; `resource_kind` determines the format of its `spec`."""

    resource_kind: str
    metadata: _Metadata
    spec: msgspec.Raw


class _Document(msgspec.Struct):
    version: int
    resources: tuple[_Resource, ...]

    def list_resources(self, kind: str) -> list[_Resource]:
        """List the resources of one kind."""
        return [
            resource
            for resource in self.resources
            if resource.resource_kind == kind
        ]


class _TrafficShare(msgspec.Struct):
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
    auth_exempt: bool = False
    service: str | None = None
    traffic_split: tuple[_TrafficShare, ...] = ()


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
    """Decode a configuration.

    Args:
        content: The JSON of the record in the store.

    Raises:
        FormatError: If any part of the configuration is invalid.
    """
    document = decode_json(content, _Document)
    with reject_invalid_values():
        return _make_configuration(document)


def _make_configuration(document: _Document) -> RouteConfiguration:
    limits = [
        _decode_limits(decode_json(resource.spec, _Limits))
        for resource in document.list_resources('limits')
    ]
    services = {
        ServiceName(resource.metadata.name): _decode_service(
            decode_json(resource.spec, _Service)
        )
        for resource in document.list_resources('services')
    }
    routes = [
        _decode_route(
            resource.metadata.name, decode_json(resource.spec, _Route)
        )
        for resource in document.list_resources('routes')
    ]
    workspaces = tuple(
        decode_workspace(resource.metadata.name, resource.spec)
        for resource in document.list_resources(WORKSPACE_KIND)
    )
    return RouteConfiguration(
        version=ConfigurationVersion(document.version),
        routes=index_routes(routes),
        services=services,
        limits=limits[0] if limits else DEFAULT_REQUEST_LIMITS,
        workspaces=workspaces,
    )


def _decode_route(name: str, spec: _Route) -> Route:
    if spec.kind not in CALL_KINDS:
        raise FormatError(f'unknown kind of route: {quote(spec.kind)}')
    if not spec.path_prefix.startswith('/'):
        raise FormatError(f'not a path: {quote(spec.path_prefix)}')
    shares = tuple(
        Share(ServiceName(share.service), share.weight)
        for share in spec.traffic_split
    )
    if spec.service is not None:
        shares = (Share(ServiceName(spec.service), 1),)
    return Route(
        name=RouteName(name),
        host=spec.host.lower(),
        prefix=spec.path_prefix,
        kind=CALL_KINDS[spec.kind],
        timeout=parse_duration(spec.timeout),
        objective=parse_duration(spec.target_latency),
        attempts=spec.max_attempts,
        rank=spec.priority,
        shares=shares,
        exempt=spec.auth_exempt,
    )


def _decode_service(spec: _Service) -> ServiceSettings:
    return ServiceSettings(
        health_path=spec.health_path,
        max_connections=spec.max_conns,
        cold_start=parse_duration(spec.cold_start),
        cold_rate=spec.cold_per_s,
    )


def _decode_limits(spec: _Limits) -> RequestLimits:
    return RequestLimits(
        head_bytes=spec.max_header_bytes,
        body_bytes=spec.max_body_bytes,
        receive=parse_duration(spec.header_timeout),
        idle=parse_duration(spec.idle_timeout),
    )
