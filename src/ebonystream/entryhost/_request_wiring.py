"""Wiring of the handling of requests, from a caller to a backend server."""

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
from ebonystream.entryhost._cold_servers import make_cold_gate
from ebonystream.entryhost._crashes import (
    refuse_crashing_request,
    update_suspects_from_probe,
)
from ebonystream.entryhost._handlers import make_caller_handler
from ebonystream.entryhost._observers import make_attempt_observers
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._request_log import log_no_capacity, update_silence
from ebonystream.entryhost._searches import make_stoppable_search
from ebonystream.entryhost._supervision import supervise_probe
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

MIN_BUDGET_HOSTS = 20
"""Lower bound on the number of hosts that the retry budget is divided by: a
host that has just started, or is partitioned, knows few others."""


def make_request_handler(parts: HostParts) -> HandleConnection:
    """Return the function that serves a caller's connection.

    Args:
        parts: The state of the host.
    """
    codec = make_codec()
    exchange = make_exchange(
        pool=parts.server_pool, buffers=parts.response_buffers
    )
    probe = make_probe(
        exchange=exchange,
        codec=codec,
        list_service_settings=partial(_list_service_settings, parts),
        timers=parts.timers,
        observe=partial(_observe_probe, parts),
    )
    find_server = make_find_server(
        SearchContext(
            list_servers=partial(_list_servers, parts),
            probe=supervise_probe(parts, probe),
            processing_times=parts.processing_times,
            queues=parts.wait_queues,
            zone=parts.settings.zone,
            timers=parts.timers,
            random=parts.random,
            background=parts.background,
            budget=parts.probe_budget,
            may_receive=make_cold_gate(parts),
            reservations=parts.reservations,
        )
    )
    handle_request = make_handle_request(
        Dispatcher(
            find_server=make_stoppable_search(find_server, parts.searches),
            send_attempt=make_send_attempt(
                exchange=exchange, codec=codec, timers=parts.timers
            ),
            retry_budget=_make_retry_budget(parts),
            attempt_observers=make_attempt_observers(parts),
            observe_no_capacity=partial(log_no_capacity, parts),
            observe_response=partial(_count_response, parts),
            timers=parts.timers,
        ),
        get_configuration=lambda: parts.orders.configuration,
        random=parts.random,
    )
    return make_caller_handler(
        parts, _refuse_crashing_requests(parts, handle_request), codec
    )


def _refuse_crashing_requests(
    parts: HostParts, handle_request: HandleRequest
) -> HandleRequest:
    """Wrap a handler so that requests that crash servers are refused."""

    async def handle_unless_crashing(
        request: Request, presence: CallerPresence
    ) -> Response:
        refusal = refuse_crashing_request(parts, request)
        if refusal is None:
            return await handle_request(request, presence)
        _count_response(parts, request, None, refusal)
        return refusal

    return handle_unless_crashing


def _observe_probe(parts: HostParts, result: ProbeResult) -> None:
    parts.metrics.count_probe(result)
    update_silence(parts, result)
    update_suspects_from_probe(parts, result)


def _count_response(
    parts: HostParts, request: Request, route: Route | None, response: Response
) -> None:
    duration = Seconds(parts.timers.now() - request.arrived_at)
    parts.metrics.count_response(route, response, duration)


def _make_retry_budget(parts: HostParts) -> RetryBudget:
    limits = parts.settings.limits
    return RetryBudget(
        limits=RetryLimits(
            ratio=limits.retry_ratio,
            base_retries=limits.base_retries,
            window=limits.retry_window,
        ),
        count_hosts=partial(_count_hosts, parts),
    )


def _count_hosts(parts: HostParts) -> int:
    peers = parts.facts.list_peers(parts.timers.now())
    return max(MIN_BUDGET_HOSTS, len(peers) + 1)


def _list_servers(
    parts: HostParts, service: ServiceName, draw: float
) -> list[KnownServer]:
    """List the servers of a service that a request may be sent to.

    Servers in evacuated zones are left out; the draw selects the version.
    """
    servers = [
        server
        for server in parts.roster.list_servers(service)
        if server.entry.zone not in parts.orders.zones_out
    ]
    return parts.moves.select_servers(
        service, servers, now=parts.timers.now(), version_draw=draw
    )


def _list_service_settings(
    parts: HostParts,
) -> Mapping[ServiceName, ServiceSettings]:
    configuration = parts.orders.configuration
    return configuration.services if configuration else {}
