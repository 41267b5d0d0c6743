"""Where a request would go, and why. Durations and ages are in seconds."""

import enum

import attrs

from ebonystream._ids import (
    ConfigurationVersion,
    HostId,
    RouteName,
    Seconds,
    ServerId,
    ServiceName,
    VersionName,
    WorkspaceName,
    ZoneName,
)
from ebonystream.errors import ErrorKind
from ebonystream.placement import Reserve
from ebonystream.workspace import Verdict


class Exclusion(enum.Enum):
    """Why a server is no candidate."""

    EVACUATED = 'zone_evacuated'
    OTHER_VERSION = 'other_version'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    AVOIDED = 'avoided'
    TRIED = 'tried_before'
    COLD_SHARE = 'cold_share_used'


@attrs.frozen(kw_only=True)
class ServerFigures:
    """What this host knows of a server.

    Attributes:
        server: Id of the server.
        zone: Its availability zone.
        version: Version of the service that it runs.
        exclusion: Why it is no candidate; None for a candidate.
        excluded_for: How long that lasts; None if that is not known.
        slots: Requests that it handles concurrently.
        in_flight: Outstanding requests of this host.
        cold_for: Remaining warm-up time; 0 once it is warm.
        failures: Failures seen by all hosts, weighted by age.
        unreliable: Whether it is probed last because of failures.
        listed_age: Time since its entry was last seen.
        request_age: Time since this host last sent it a request; None if
            never.
        silent_for: Time since the first unanswered health check; None if it
            answers.
    """

    server: ServerId
    zone: ZoneName
    version: VersionName
    exclusion: Exclusion | None
    excluded_for: Seconds | None
    slots: int
    in_flight: int
    cold_for: Seconds
    failures: float
    unreliable: bool
    listed_age: Seconds
    request_age: Seconds | None
    silent_for: Seconds | None


@attrs.frozen(kw_only=True)
class SecondAttempt:
    """What a second attempt would do.

    Attributes:
        repeatable: Whether it may follow an attempt that may have run.
        attempts_left: Attempts that the route allows after the first.
        within_budget: Whether the retry budget grants it now.
        hedge: Why a late first attempt is not hedged, `off`, or `permitted`
            subject to lateness and probes.
        candidates: Servers that it may go to, less that of the first attempt.
    """

    repeatable: bool
    attempts_left: int
    within_budget: bool
    hedge: str
    candidates: tuple[ServerId, ...]


@attrs.frozen(kw_only=True)
class VersionChoice:
    """The servers for one outcome of the draw of the version.

    Attributes:
        odds: Share of the requests of the service, from 0 to 1.
        servers: All servers of the service, candidates or not.
        reserve: Free slots left to more urgent requests.
    """

    odds: float
    servers: tuple[ServerFigures, ...]
    reserve: Reserve


@attrs.frozen(kw_only=True)
class ServiceChoice:
    """One service of a route.

    Attributes:
        service: Name of the service.
        odds: Share of the requests of the route, from 0 to 1.
        versions: The outcomes of the draw of the version.
        second_attempt: What a second attempt would do.
    """

    service: ServiceName
    odds: float
    versions: tuple[VersionChoice, ...]
    second_attempt: SecondAttempt

    def has_candidate(self) -> bool:
        """Return whether some request may go to a server of the service."""
        return any(
            server.exclusion is None
            for version in self.versions
            for server in version.servers
        )


@attrs.frozen(kw_only=True)
class AdmissionFigures:
    """The admission of a request.

    Attributes:
        verdict: The decision; None if the configuration has no workspaces.
        workspace: Workspace that the request belongs to, if any.
        age: Age of the proof that the configuration is the newest; None
            without one.
        bound: Bound on revocation; None if keys are not bounded.
    """

    verdict: Verdict | None
    workspace: WorkspaceName | None
    age: Seconds | None
    bound: Seconds | None


@attrs.frozen(kw_only=True)
class RouteFigures:
    """The route that a request matches.

    Attributes:
        name: Name of the route.
        kind: Whether requests may be executed more than once.
        rank: Urgency of the request, by workspace or else by route.
        time_left: Time until the request expires.
    """

    name: RouteName
    kind: str
    rank: int
    time_left: Seconds


@attrs.frozen(kw_only=True)
class Explanation:
    """Where a request would go now, and why.

    Attributes:
        host: Host that explains.
        zone: Its availability zone.
        configuration: Version of the configuration in force; None without
            one.
        error: Error that the caller would get; None if the request would be
            placed on a server.
        admission: The admission; None if it is not decided.
        route: The matching route; None without one.
        services: The services that the request may go to.
        depends_on_probes: Whether probes directly before the send decide
            among the candidates.
    """

    host: HostId
    zone: ZoneName
    configuration: ConfigurationVersion | None = None
    error: ErrorKind | None = None
    admission: AdmissionFigures | None = None
    route: RouteFigures | None = None
    services: tuple[ServiceChoice, ...] = ()
    depends_on_probes: bool = False
