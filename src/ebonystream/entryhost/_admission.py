"""Admission of requests by the keys of workspaces, on arrival and at a send."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import Seconds
from ebonystream.dispatch import HandleRequest, SendRefusal
from ebonystream.entryhost._lease import is_fresh
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress import CallerPresence
from ebonystream.request import Request, Response, make_error_response
from ebonystream.route import Route, RouteConfiguration, match_route
from ebonystream.workspace import (
    Access,
    Admission,
    Verdict,
    Workspace,
    WorkspaceIndex,
    decide_admission,
    review_admission,
)

STALE_RETRY_AFTER = Seconds(0.5)
"""Delay after which a caller may try again, here or at another host."""

LOGGED_DIGEST_BYTES = 4
"""Bytes of the digest of a key in a log line: enough to recognise a key that
is known, and too few to find one that is not."""

ACCESS_BY_VERDICT: Mapping[Verdict, Access] = MappingProxyType(
    {Verdict.ADMITTED: Access.KEY, Verdict.EXEMPT: Access.EXEMPT}
)
ERROR_BY_VERDICT: Mapping[Verdict, ErrorKind] = MappingProxyType(
    {
        Verdict.REFUSED: ErrorKind.UNAUTHORIZED,
        Verdict.STALE: ErrorKind.CONFIGURATION_STALE,
        Verdict.CHANGED: ErrorKind.CONFIGURATION_STALE,
    }
)
RETRIED_VERDICTS = frozenset((Verdict.STALE, Verdict.CHANGED))
"""Verdicts that may differ when the caller tries again."""


@attrs.define
class Gate:
    """Admits requests by the configuration in force.

    Attributes:
        parts: The state of the host.
    """

    parts: HostParts
    _workspaces: tuple[Workspace, ...] = ()
    _index: WorkspaceIndex = attrs.field(factory=WorkspaceIndex)
    _was_fresh: bool = True

    def wrap(self, handle_request: HandleRequest) -> HandleRequest:
        """Wrap a handler so that it gets only requests that are admitted.

        Args:
            handle_request: Handles one request.
        """

        async def handle_admitted(
            request: Request, presence: CallerPresence
        ) -> Response:
            configuration = self.parts.orders.configuration
            if configuration is None or not configuration.workspaces:
                return await handle_request(request, presence)
            route = match_route(
                configuration, host=request.host, path=request.path
            )
            admission = self._decide(configuration, request, route)
            self._log(request, route, admission, 'arrival')
            access = ACCESS_BY_VERDICT.get(admission.verdict)
            if access is None:
                return self._refuse(request, route, admission)
            return await handle_request(
                _mark_admitted(request, access, admission.workspace), presence
            )

        return handle_admitted

    def check_send(self, request: Request) -> SendRefusal | None:
        """Return why a request must not be sent to a server now, if so.

        Since the request arrived, its key may have been withdrawn or moved to
        another workspace, or the configuration become too old. A request that
        arrived before there were workspaces still has its key.

        Args:
            request: A request that was admitted on arrival.
        """
        configuration = self.parts.orders.configuration
        if request.access is Access.EXEMPT or configuration is None:
            return None
        if not configuration.workspaces:
            return None
        admission = review_admission(
            self._decide(configuration, request, None),
            request.access,
            request.workspace,
        )
        error = ERROR_BY_VERDICT.get(admission.verdict)
        if error is None:
            return None
        self._log(request, None, admission, 'send')
        return SendRefusal(error, _get_retry_after(admission.verdict))

    def _decide(
        self,
        configuration: RouteConfiguration,
        request: Request,
        route: Route | None,
    ) -> Admission:
        if configuration.workspaces is not self._workspaces:
            self._workspaces = configuration.workspaces
            self._index = WorkspaceIndex.build(self._workspaces)
        return decide_admission(
            self._index,
            request.credential,
            is_exempt=route is not None and route.exempt,
            is_fresh=self._check_freshness(),
        )

    def _check_freshness(self) -> bool:
        """Return whether keys are judged now, and log each change."""
        parts = self.parts
        fresh = is_fresh(parts)
        if fresh is not self._was_fresh:
            self._was_fresh = fresh
            parts.log_event(
                'keys_judged' if fresh else 'keys_not_judged',
                age_s=parts.orders.freshness.get_age(parts.timers.boot_now()),
                revoke_s=parts.settings.limits.revoke,
                end=parts.orders.end,
            )
        return fresh

    def _refuse(
        self, request: Request, route: Route | None, admission: Admission
    ) -> Response:
        response = make_error_response(
            EbonystreamError(ERROR_BY_VERDICT[admission.verdict]),
            retry_after=_get_retry_after(admission.verdict),
        )
        duration = Seconds(self.parts.timers.now() - request.arrived_at)
        self.parts.metrics.count_response(route, response, duration)
        return response

    def _log(
        self,
        request: Request,
        route: Route | None,
        admission: Admission,
        when: str,
    ) -> None:
        parts = self.parts
        configuration = parts.orders.configuration
        workspace = admission.workspace
        credential = request.credential
        digest = credential.digest
        parts.metrics.admissions.increment(admission.verdict.value, when)
        parts.log_event(
            'admission',
            id=request.attempt_id,
            when=when,
            verdict=admission.verdict.value,
            workspace=workspace.name if workspace else None,
            rank=workspace.rank if workspace else None,
            route=route.name if route else None,
            key=credential.state.value,
            key_digest=digest[:LOGGED_DIGEST_BYTES].hex() if digest else None,
            configuration=configuration.version if configuration else None,
            age_s=parts.orders.freshness.get_age(parts.timers.boot_now()),
            revoke_s=parts.settings.limits.revoke,
        )


def _mark_admitted(
    request: Request, access: Access, workspace: Workspace | None
) -> Request:
    if workspace is None:
        return attrs.evolve(request, access=access)
    return attrs.evolve(
        request, access=access, workspace=workspace.name, rank=workspace.rank
    )


def _get_retry_after(verdict: Verdict) -> Seconds | None:
    return STALE_RETRY_AFTER if verdict in RETRIED_VERDICTS else None
