"""Wires the path of a request, from a caller to a backend server."""

from collections.abc import Mapping
from functools import partial

from ebonystream._ids import Seconds, ServiceName
from ebonystream.dispatch import (
    Dispatcher,
    RepeatBudget,
    RepeatTerms,
    Serve,
    make_send,
    make_serve,
)
from ebonystream.entryhost._callers import make_caller_handler
from ebonystream.entryhost._crashes import note_silence, refuse_crashing
from ebonystream.entryhost._lines import note_full, note_presence
from ebonystream.entryhost._observers import make_observers
from ebonystream.entryhost._parts import HostParts
from ebonystream.ingress import HandleConnection, Presence
from ebonystream.link import make_exchange
from ebonystream.placement import (
    ProbeResult,
    SearchContext,
    make_find_server,
    make_probe,
)
from ebonystream.platform import make_dialect
from ebonystream.request import Request, Response
from ebonystream.roster import KnownServer
from ebonystream.route import Route, ServiceSettings

LEAST_HOSTS = 20
"""Over how many hosts shared bounds are spread at least: a host that has just
started, or is cut off, knows few others."""


def make_request_handler(parts: HostParts) -> HandleConnection:
    """Wire the path of a request, from its connection to a server.

    Args:
        parts: The state of the host.
    """
    dialect = make_dialect()
    exchange = make_exchange(pool=parts.servers_pool)
    ask = make_probe(
        exchange=exchange,
        dialect=dialect,
        list_service_settings=partial(_list_terms, parts),
        timers=parts.timers,
        observe=partial(_observe_question, parts),
    )
    find_room = make_find_server(
        SearchContext(
            list_servers=partial(_list_servers, parts),
            probe=ask,
            processing_times=parts.work_times,
            queues=parts.lines,
            zone=parts.settings.zone,
            timers=parts.timers,
            random=parts.random,
            background=parts.background,
        )
    )
    serve = make_serve(
        Dispatcher(
            find_room=find_room,
            send=make_send(
                exchange=exchange, dialect=dialect, timers=parts.timers
            ),
            budget=_make_budget(parts),
            observers=make_observers(parts),
            note_full=partial(note_full, parts),
            observe_response=partial(_count_response, parts),
            timers=parts.timers,
        ),
        get_configuration=lambda: parts.orders.configuration,
        random=parts.random,
    )
    return make_caller_handler(parts, _guard(parts, serve), dialect)


def _guard(parts: HostParts, serve: Serve) -> Serve:
    """Keep requests that end servers away from them."""

    async def guarded(request: Request, presence: Presence) -> Response:
        refused = refuse_crashing(parts, request)
        if refused is None:
            return await serve(request, presence)
        _count_response(parts, request, None, refused)
        return refused

    return guarded


def _observe_question(parts: HostParts, sighting: ProbeResult) -> None:
    parts.metrics.count_question(sighting)
    note_presence(parts, sighting)
    note_silence(parts, sighting)


def _count_response(
    parts: HostParts, request: Request, route: Route | None, response: Response
) -> None:
    took = Seconds(parts.timers.now() - request.arrived)
    parts.metrics.count_answer(route, response, took)


def _make_budget(parts: HostParts) -> RepeatBudget:
    bounds = parts.settings.bounds
    return RepeatBudget(
        terms=RepeatTerms(
            ratio=bounds.repeat_ratio,
            slack=bounds.repeat_slack,
            window=bounds.repeat_window,
        ),
        count_hosts=partial(_count_hosts, parts),
    )


def _count_hosts(parts: HostParts) -> int:
    known = parts.facts.list_peers(parts.timers.now())
    return max(LEAST_HOSTS, len(known) + 1)


def _list_servers(
    parts: HostParts, service: ServiceName, draw: float
) -> list[KnownServer]:
    """List the servers that zones out and version moves leave for a draw."""
    servers = [
        server
        for server in parts.roster.list_service(service)
        if server.entry.zone not in parts.orders.zones_out
    ]
    return parts.moves.narrow(
        service, servers, now=parts.timers.now(), draw=draw
    )


def _list_terms(parts: HostParts) -> Mapping[ServiceName, ServiceSettings]:
    configuration = parts.orders.configuration
    return configuration.services if configuration else {}
