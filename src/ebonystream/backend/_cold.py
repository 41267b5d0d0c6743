"""The rules by which calls reach servers that start, drain or leave."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Seconds, ServerId, ServiceName
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Begin, MayTake
from ebonystream.backend._leaving import check_leaving, is_leaving
from ebonystream.backend._server import BackendServer
from ebonystream.backend._wants import Wants
from ebonystream.backend._warmth import ServerPhase
from ebonystream.call import Call, CallKind

FIRST_CALL_ROOM = Seconds(0.5)
"""What a call's deadline must leave to be among a cold server's first."""

PREFERENCE_WAIT = Seconds(0.1)
"""How long a starting server is kept for calls that are fit for its first."""

CountElsewhere = Callable[[ServerId], int]
"""Tells the calls of all other entry hosts that a server has in hand."""


@attrs.frozen(kw_only=True)
class StartingRules:
    """What the rules on starting servers are made of.

    Attributes:
        directory: The servers that are known.
        is_held: Tells whether this host is a server's sponsor.
        count_elsewhere: Tells what other hosts have in flight there.
        slots: Calls that a server works on at the same time.
        timers: Tells the time.
        wants: Notes the starting servers that this host has calls for.
    """

    directory: Directory
    is_held: Callable[[BackendServer], bool]
    count_elsewhere: CountElsewhere
    slots: int
    timers: Timers
    wants: Wants


def make_starting_gate(rules: StartingRules) -> MayTake:
    """Make the predicate that keeps calls from servers that can't bear them.

    Args:
        rules: What it looks at.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        warmth = server.warmth
        if is_leaving(server):
            return False
        if not warmth.is_starting:
            return True
        rules.wants.note(server.id)
        if not _has_room(rules, server) or not rules.is_held(server):
            return False
        return _is_fit_for_first(rules, call) or _is_idle(rules, server)

    return may_take


def _has_room(rules: StartingRules, server: BackendServer) -> bool:
    if rules.timers.now() < server.warmth.growth.resting_until:
        return False
    in_hand = server.in_flight + rules.count_elsewhere(server.id)
    return in_hand < server.warmth.growth.limit


def _is_fit_for_first(rules: StartingRules, call: Call) -> bool:
    room = call.deadline - rules.timers.now()
    if call.kind is CallKind.IDEMPOTENT and room >= FIRST_CALL_ROOM:
        return True
    return not _is_served(rules.directory, call.service)


def _is_idle(rules: StartingRules, server: BackendServer) -> bool:
    growth = server.warmth.growth
    called_at = max(growth.since, growth.answered_at)
    return rules.timers.now() - called_at >= PREFERENCE_WAIT


def _is_served(directory: Directory, service: ServiceName) -> bool:
    return any(
        server.warmth.phase is ServerPhase.SERVING and not is_leaving(server)
        for server in directory.list_service(service)
    )


def make_starting_begin(rules: StartingRules) -> Begin:
    """Make the function that sees each call just before it is sent.

    It keeps back a call whose server has turned cold, drains or leaves since
    the call got its place, and asserts the bounds for all others.

    Args:
        rules: What it looks at.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        if _is_borne(rules, server):
            check_starting(rules, server)
            return True
        return False

    return begin


def _is_borne(rules: StartingRules, server: BackendServer) -> bool:
    if is_leaving(server):
        return False
    if not server.warmth.is_starting:
        return True
    in_hand = server.in_flight + rules.count_elsewhere(server.id)
    return in_hand <= server.warmth.growth.limit and rules.is_held(server)


def check_starting(rules: StartingRules, server: BackendServer) -> None:
    """Assert that a server bears the calls that it has, one just placed.

    Args:
        rules: What is looked at.
        server: The server.
    """
    check_leaving(server, rules.timers.now())
    if not server.warmth.is_starting:
        return
    in_hand = server.in_flight + rules.count_elsewhere(server.id)
    assert in_hand <= server.warmth.growth.limit, (
        f'{server.id} is {server.warmth.phase.value} and bears '
        f'{server.warmth.growth.limit} calls, but has {in_hand}'
    )
    assert rules.is_held(server), (
        f'{server.id} is {server.warmth.phase.value}, '
        'but this host is not its sponsor'
    )
