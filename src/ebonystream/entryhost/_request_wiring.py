"""Wiring of the handling of requests, from a caller to a backend server."""

from functools import partial

from ebonystream.dispatch import (
    Dispatcher,
    make_handle_request,
    make_send_attempt,
)
from ebonystream.entryhost._admission import Gate
from ebonystream.entryhost._cold_servers import make_cold_gate
from ebonystream.entryhost._crash_refusal import refuse_crashing_requests
from ebonystream.entryhost._handlers import make_caller_handler
from ebonystream.entryhost._hedging import make_hedge_rules
from ebonystream.entryhost._listing import list_servers, list_service_settings
from ebonystream.entryhost._observers import (
    count_response,
    make_attempt_observers,
    observe_probe,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._patience import PatientRoutes
from ebonystream.entryhost._proof_wait import make_proof_wait
from ebonystream.entryhost._request_log import log_no_capacity
from ebonystream.entryhost._retry_budget import make_retry_budget
from ebonystream.entryhost._searches import DispatchState, make_stoppable_search
from ebonystream.entryhost._supervision import supervise_probe
from ebonystream.ingress import HandleConnection
from ebonystream.link import make_exchange
from ebonystream.placement import (
    ColdShares,
    SearchContext,
    make_find_server,
    make_probe,
)
from ebonystream.platform import make_codec


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
        list_service_settings=partial(list_service_settings, parts),
        timers=parts.timers,
        observe=partial(observe_probe, parts),
    )
    cold_shares = ColdShares(parts.settings.name)
    search_context = SearchContext(
        list_servers=partial(list_servers, parts),
        probe=supervise_probe(parts, probe),
        processing_times=parts.processing_times,
        queues=parts.wait_queues,
        zone=parts.settings.zone,
        timers=parts.timers,
        random=parts.random,
        background=parts.background,
        budget=parts.probe_budget,
        may_receive=make_cold_gate(parts, cold_shares),
        reservations=parts.reservations,
        is_patient=PatientRoutes(parts.orders).is_patient,
    )
    gate = Gate(parts)
    parts.dispatch_state = DispatchState(
        retry_budget=make_retry_budget(parts),
        cold_shares=cold_shares,
        hedging=make_hedge_rules(parts, search_context),
    )
    find_server = make_find_server(search_context)
    handle_request = make_handle_request(
        Dispatcher(
            find_server=make_stoppable_search(find_server, parts.searches),
            send_attempt=make_send_attempt(
                exchange=exchange,
                codec=codec,
                timers=parts.timers,
                may_send=lambda request: gate.check_send(request) is None,
            ),
            retry_budget=parts.dispatch_state.retry_budget,
            attempt_observers=make_attempt_observers(parts),
            observe_no_capacity=partial(log_no_capacity, parts),
            observe_response=partial(count_response, parts),
            timers=parts.timers,
            check_send=gate.check_send,
            hedging=parts.dispatch_state.hedging,
        ),
        get_configuration=lambda: parts.orders.configuration,
        random=parts.random,
    )
    return make_caller_handler(
        parts,
        gate.wrap(refuse_crashing_requests(parts, handle_request)),
        codec,
        make_proof_wait(parts),
    )
