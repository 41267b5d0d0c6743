"""Explanation of where a request would go from this host now.

The decisions are those of requests, made on a copy of the state.
"""

import attrs

from ebonystream._ids import AttemptId, Monotonic, Seconds, ServiceName
from ebonystream.dispatch import RequestProgress, get_deadline
from ebonystream.entryhost._admission import ERROR_BY_VERDICT
from ebonystream.entryhost._lease import is_fresh
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._retry_budget import make_retry_budget
from ebonystream.entryhost._state_copy import copy_parts, make_copied_context
from ebonystream.errors import ErrorKind
from ebonystream.explanation import (
    AdmissionFigures,
    ExplainQuery,
    Explanation,
    RouteFigures,
    ServiceChoice,
    VersionChoice,
    explain_second_attempt,
    list_figures,
)
from ebonystream.placement import SearchContext, get_reserve
from ebonystream.request import Request
from ebonystream.route import (
    Route,
    RouteConfiguration,
    list_odds,
    match_route,
)
from ebonystream.workspace import (
    NO_CREDENTIAL,
    Admission,
    Credential,
    CredentialState,
    WorkspaceIndex,
    decide_admission,
)


def explain_request(parts: HostParts, query: ExplainQuery) -> Explanation:
    """Explain where a request would go now; nothing changes.

    Args:
        parts: The state of the host.
        query: The request.

    Raises:
        ValueError: The configuration has no workspace of that name.
    """
    settings = parts.settings
    configuration = parts.orders.configuration
    explanation = Explanation(host=settings.name, zone=settings.zone)
    if parts.caller_connections.close_when_idle:
        return attrs.evolve(explanation, error=ErrorKind.LEAVING)
    if configuration is None:
        return attrs.evolve(explanation, error=ErrorKind.NOT_CONFIGURED)
    return _explain_admitted(parts, query, explanation, configuration)


def _explain_admitted(
    parts: HostParts,
    query: ExplainQuery,
    explanation: Explanation,
    configuration: RouteConfiguration,
) -> Explanation:
    route = match_route(configuration, host=query.host, path=query.path)
    request = _make_request(query, parts.timers.now())
    admission = _decide_admission(parts, query, configuration, route)
    error: ErrorKind | None = None
    if admission is not None:
        error = ERROR_BY_VERDICT.get(admission.verdict)
        if admission.workspace is not None:
            request = attrs.evolve(
                request,
                workspace=admission.workspace.name,
                rank=admission.workspace.rank,
            )
    if error is None and route is None:
        error = ErrorKind.UNKNOWN_ROUTE
    explanation = attrs.evolve(
        explanation,
        configuration=configuration.version,
        error=error,
        admission=_make_admission_figures(parts, admission),
    )
    if route is None or error is not None:
        return explanation
    return _explain_routed(parts, request, route, explanation)


def _decide_admission(
    parts: HostParts,
    query: ExplainQuery,
    configuration: RouteConfiguration,
    route: Route | None,
) -> Admission | None:
    """Decide as for a request with a key of the workspace."""
    if not configuration.workspaces:
        return None
    credential = NO_CREDENTIAL
    if query.workspace is not None:
        named = {known.name: known for known in configuration.workspaces}
        if query.workspace not in named:
            raise ValueError(f'unknown workspace {query.workspace!r}')
        for digest in named[query.workspace].digests:
            credential = Credential(CredentialState.PRESENT, digest)
    return decide_admission(
        WorkspaceIndex.build(configuration.workspaces),
        credential,
        is_exempt=route is not None and route.exempt,
        is_fresh=is_fresh(parts),
    )


def _make_admission_figures(
    parts: HostParts, admission: Admission | None
) -> AdmissionFigures:
    workspace = admission.workspace if admission else None
    return AdmissionFigures(
        verdict=admission.verdict if admission else None,
        workspace=workspace.name if workspace else None,
        age=parts.orders.freshness.get_age(parts.timers.boot_now()),
        bound=parts.settings.limits.revoke,
    )


def _explain_routed(
    parts: HostParts, request: Request, route: Route, explanation: Explanation
) -> Explanation:
    deadline = get_deadline(request, route)
    time_left = Seconds(deadline - parts.timers.now())
    rank = route.rank if request.rank is None else request.rank
    services = tuple(
        _explain_service(
            # Each service is judged on a copy of its own.
            copy_parts(parts),
            RequestProgress(
                request=request,
                route=route,
                service=service,
                first_requested_at=request.arrived_at,
                deadline=deadline,
                version_draw=0,
            ),
            odds,
        )
        for service, odds in list_odds(route).items()
        if odds > 0
    )
    is_expired = time_left <= 0
    return attrs.evolve(
        explanation,
        error=_find_error(services, is_expired=is_expired),
        route=RouteFigures(
            name=route.name,
            kind=route.kind.value,
            rank=rank,
            time_left=time_left,
        ),
        services=services,
        depends_on_probes=not is_expired,
    )


def _find_error(
    services: tuple[ServiceChoice, ...], *, is_expired: bool
) -> ErrorKind | None:
    has_candidate = any(service.has_candidate() for service in services)
    return None if has_candidate and not is_expired else ErrorKind.NO_BACKEND


def _explain_service(
    copied: HostParts, progress: RequestProgress, odds: float
) -> ServiceChoice:
    context = make_copied_context(copied)
    state = copied.dispatch_state
    return ServiceChoice(
        service=progress.service,
        odds=odds,
        versions=tuple(
            _explain_version(
                copied,
                context,
                attrs.evolve(progress, version_draw=draw),
                share,
            )
            for draw, share in _list_draws(copied, progress.service)
        ),
        second_attempt=explain_second_attempt(
            context,
            progress,
            budget=state.retry_budget if state else make_retry_budget(copied),
            hedging=state.hedging if state else None,
        ),
    )


def _list_draws(
    parts: HostParts, service: ServiceName
) -> tuple[tuple[float, float], ...]:
    """List a draw for each version, and the share of requests that get it."""
    move = parts.moves.find_by_service(service)
    share = move.get_traffic_share(parts.timers.now()) if move else 1
    draws = ((0, share), (share, 1 - share))
    return tuple((draw, odds) for draw, odds in draws if odds > 0)


def _explain_version(
    copied: HostParts,
    context: SearchContext,
    progress: RequestProgress,
    odds: float,
) -> VersionChoice:
    request = progress.make_placement_request()
    return VersionChoice(
        odds=odds,
        servers=list_figures(
            context,
            request,
            servers=copied.roster.list_servers(progress.service),
            zones_out=copied.orders.get_zones_out(copied.timers.now()),
        ),
        reserve=get_reserve(context, request),
    )


def _make_request(query: ExplainQuery, now: Monotonic) -> Request:
    time_left = query.time_left
    return Request(
        attempt_id=AttemptId(''),
        host=query.host,
        method=query.method,
        target=query.path,
        path=query.path,
        headers=(),
        body=b'',
        arrived_at=now,
        deadline=None if time_left is None else Monotonic(now + time_left),
    )
