"""Rules on calls to servers that are starting, draining or leaving."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Seconds, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Begin, MayTake
from ebonystream.backend._leaving import assert_not_leaving, is_leaving
from ebonystream.backend._lifecycle import ServerPhase
from ebonystream.backend._server import BackendServer
from ebonystream.backend._wants import WantedServers
from ebonystream.call import Call, CallKind

MIN_PREFERRED_TIME = Seconds(0.5)
"""Time left to its deadline from which on an idempotent call is preferred for
starting servers."""

PREFERRED_CALL_WAIT = Seconds(0.1)
"""How long a starting server without calls is reserved for preferred calls."""

CountInFlightElsewhere = Callable[[ServerId], int]
"""Returns the number of calls of other entry hosts in flight at a server."""


@attrs.frozen(kw_only=True)
class StartingRules:
    """State and callbacks that the rules on starting servers share.

    Attributes:
        directory: The known servers.
        is_active_sponsor: Returns whether this host is the sponsor of a server
            and may send calls to it.
        count_in_flight_elsewhere: Returns the number of calls of other entry
            hosts in flight at a server.
        slots: Number of calls that a server processes concurrently.
        timers: Source of the current time.
        wanted: Records the starting servers that this host has calls for.
    """

    directory: Directory
    is_active_sponsor: Callable[[BackendServer], bool]
    count_in_flight_elsewhere: CountInFlightElsewhere
    slots: int
    timers: Timers
    wanted: WantedServers


def make_starting_gate(rules: StartingRules) -> MayTake:
    """Make the predicate that limits calls to starting and leaving servers.

    A leaving server may take no call. A starting server may take calls of its
    sponsor only, up to its limit; idempotent calls whose deadline is not near
    are preferred.

    Args:
        rules: The state that the predicate reads and updates.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        lifecycle = server.lifecycle
        if is_leaving(server):
            return False
        if not lifecycle.is_starting:
            return True
        rules.wanted.record(server.id)
        if not _has_room(rules, server) or not rules.is_active_sponsor(server):
            return False
        return _is_preferred(rules, call) or _is_unused(rules, server)

    return may_take


def _has_room(rules: StartingRules, server: BackendServer) -> bool:
    if rules.timers.now() < server.lifecycle.ramp_up.avoid_until:
        return False
    in_flight = server.in_flight + rules.count_in_flight_elsewhere(server.id)
    return in_flight < server.lifecycle.ramp_up.limit


def _is_preferred(rules: StartingRules, call: Call) -> bool:
    time_left = call.deadline - rules.timers.now()
    if call.kind is CallKind.IDEMPOTENT and time_left >= MIN_PREFERRED_TIME:
        return True
    return not _has_serving_server(rules.directory, call.service)


def _is_unused(rules: StartingRules, server: BackendServer) -> bool:
    ramp_up = server.lifecycle.ramp_up
    last_used_at = max(ramp_up.reset_at, ramp_up.responded_at)
    return rules.timers.now() - last_used_at >= PREFERRED_CALL_WAIT


def _has_serving_server(directory: Directory, service: ServiceName) -> bool:
    return any(
        server.lifecycle.phase is ServerPhase.SERVING and not is_leaving(server)
        for server in directory.list_servers(service)
    )


def make_starting_begin(rules: StartingRules) -> Begin:
    """Make the function that checks each call just before it is sent.

    It returns False if the server has turned cold, drains or leaves since the
    call was placed, and asserts the limits for all other calls.

    Args:
        rules: The state that the function reads.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        if _may_send(rules, server):
            assert_starting_limits(rules, server)
            return True
        return False

    return begin


def _may_send(rules: StartingRules, server: BackendServer) -> bool:
    if is_leaving(server):
        return False
    if not server.lifecycle.is_starting:
        return True
    in_flight = server.in_flight + rules.count_in_flight_elsewhere(server.id)
    return (
        in_flight <= server.lifecycle.ramp_up.limit
        and rules.is_active_sponsor(server)
    )


def assert_starting_limits(rules: StartingRules, server: BackendServer) -> None:
    """Assert that a server may have the calls that are in flight at it.

    Args:
        rules: The state to check against.
        server: The server; the call just placed is already counted.
    """
    assert_not_leaving(server, rules.timers.now())
    if not server.lifecycle.is_starting:
        return
    in_flight = server.in_flight + rules.count_in_flight_elsewhere(server.id)
    assert in_flight <= server.lifecycle.ramp_up.limit, (
        f'{server.id} is {server.lifecycle.phase.value} and limited to '
        f'{server.lifecycle.ramp_up.limit} calls, but has {in_flight} in flight'
    )
    assert rules.is_active_sponsor(server), (
        f'{server.id} is {server.lifecycle.phase.value}, '
        'but this host is not its sponsor'
    )
