"""Figures of the servers of a service, and why some are no candidates."""

from collections.abc import Iterable

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream.explanation._explanation import Exclusion, ServerFigures
from ebonystream.placement import (
    PlacementRequest,
    SearchContext,
    list_usable_servers,
)
from ebonystream.roster import EntryState, KnownServer, is_unreliable

NO_TIME = Seconds(0)


def list_figures(
    context: SearchContext,
    request: PlacementRequest,
    *,
    servers: Iterable[KnownServer],
    zones_out: frozenset[ZoneName],
) -> tuple[ServerFigures, ...]:
    """List the servers of a service with their figures.

    The candidates are those that a search would probe.

    Args:
        context: Dependencies of the search, on a copy of the state.
        request: The request.
        servers: All servers of the service.
        zones_out: Evacuated zones.
    """
    now = context.timers.now()
    local, remote = list_usable_servers(context, request)
    listed = context.list_servers(request.service, request.version_draw)

    def explain(server: KnownServer) -> Exclusion | None:
        if server in local or server in remote:
            return None
        if server.entry.zone in zones_out:
            return Exclusion.EVACUATED
        if server not in listed:
            return Exclusion.OTHER_VERSION
        if server.entry.id in request.excluded_servers:
            return Exclusion.TRIED
        return _explain_state(server, now)

    return tuple(
        _make_figures(server, explain(server), now) for server in servers
    )


def _explain_state(server: KnownServer, now: Monotonic) -> Exclusion:
    if server.is_usable(now):
        return Exclusion.COLD_SHARE
    if server.leaving or server.entry.state is EntryState.LEAVING:
        return Exclusion.LEAVING
    if now < server.refusing_until:
        return Exclusion.REFUSING
    return Exclusion.AVOIDED


def _make_figures(
    server: KnownServer, exclusion: Exclusion | None, now: Monotonic
) -> ServerFigures:
    entry = server.entry
    was_used = bool(server.recent_requests)
    silent_since = server.silent_since
    return ServerFigures(
        server=entry.id,
        zone=entry.zone,
        version=entry.version,
        exclusion=exclusion,
        excluded_for=_get_duration(server, exclusion, now),
        slots=entry.slots,
        in_flight=server.in_flight,
        cold_for=Seconds(max(NO_TIME, server.cold_until - now)),
        failures=server.get_all_failures(now),
        unreliable=is_unreliable(server, now),
        listed_age=Seconds(now - server.last_listed_at),
        request_age=Seconds(now - server.last_request_at) if was_used else None,
        silent_for=None
        if silent_since is None
        else Seconds(now - silent_since),
    )


def _get_duration(
    server: KnownServer, exclusion: Exclusion | None, now: Monotonic
) -> Seconds | None:
    if exclusion is Exclusion.REFUSING:
        return Seconds(server.refusing_until - now)
    if exclusion is Exclusion.AVOIDED:
        return Seconds(server.avoid_until - now)
    return None
