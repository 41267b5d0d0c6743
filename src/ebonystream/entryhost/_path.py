"""Wires the path of a request, from a caller to a backend server."""

from collections.abc import Mapping
from functools import partial

from ebonystream._ids import Seconds, ServiceName
from ebonystream.dispatch import (
    Dispatcher,
    HandleRequest,
    RetryBudget,
    RetryLimits,
    make_handle_request,
    make_send_attempt,
)
from ebonystream.entryhost._callers import make_caller_handler
from ebonystream.entryhost._crashes import note_silence, refuse_crashing
from ebonystream.entryhost._lines import note_full, note_presence
from ebonystream.entryhost._observers import make_observers
from ebonystream.entryhost._parts import HostParts
from ebonystream.ingress import CallerPresence, HandleConnection
from ebonystream.link import make_exchange
from ebonystream.placement import (
    ProbeResult,
    SearchContext,
    make_find_server,
    make_probe,
)
from ebonystream.platform import make_codec
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
    dialect = make_codec()
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
    serve = make_handle_request(
        Dispatcher(
            find_server=find_room,
            send_attempt=make_send_attempt(
                exchange=exchange, codec=dialect, timers=parts.timers
            ),
            retry_budget=_make_budget(parts),
            attempt_observers=make_observers(parts),
            observe_no_capacity=partial(note_full, parts),
            observe_response=partial(_count_response, parts),
            timers=parts.timers,
        ),
        get_configuration=lambda: parts.orders.configuration,
        random=parts.random,
    )
    return make_caller_handler(parts, _guard(parts, serve), dialect)


def _guard(parts: HostParts, serve: HandleRequest) -> HandleRequest:
    """Keep requests that end servers away from them."""

    async def guarded(request: Request, presence: CallerPresence) -> Response:
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
    took = Seconds(parts.timers.now() - request.arrived_at)
    parts.metrics.count_answer(route, response, took)


def _make_budget(parts: HostParts) -> RetryBudget:
    bounds = parts.settings.bounds
    return RetryBudget(
        limits=RetryLimits(
            ratio=bounds.repeat_ratio,
            base_retries=bounds.repeat_slack,
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
        for server in parts.roster.list_servers(service)
        if server.entry.zone not in parts.orders.zones_out
    ]
    return parts.moves.select_servers(
        service, servers, now=parts.timers.now(), version_draw=draw
    )


def _list_terms(parts: HostParts) -> Mapping[ServiceName, ServiceSettings]:
    configuration = parts.orders.configuration
    return configuration.services if configuration else {}
