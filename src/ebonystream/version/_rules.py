"""The rules of version moves, as closures for dispatch."""

from collections.abc import Callable

import attrs
import xxhash

from ebonystream._ids import Seconds, VersionName
from ebonystream._timers import Timers
from ebonystream.backend import (
    Attempt,
    BackendServer,
    Begin,
    MayTake,
    Observe,
)
from ebonystream.call import Call
from ebonystream.move import VersionMove
from ebonystream.version._progress import MoveProgress
from ebonystream.version._samples import make_sample
from ebonystream.version._traffic import VersionTraffic

DRAWS = 18_446_744_073_709_551_616


@attrs.frozen(kw_only=True)
class VersionRules:
    """What the rules of version moves are made of.

    Attributes:
        traffic: The moves of this host.
        has_room: Tells whether a server could have a call at once.
        timers: Tells the time.
        tell_peers: Wakes the heartbeats after a brake.
    """

    traffic: VersionTraffic
    has_room: MayTake
    timers: Timers
    tell_peers: Callable[[], None]


def make_version_gate(rules: VersionRules) -> MayTake:
    """Make the predicate that keeps calls to the versions they may go to.

    Args:
        rules: What it looks at.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        traffic = rules.traffic
        if traffic.view.is_taken_back(server.service, server.version):
            return False
        move = traffic.moves.get(server.service)
        progress = traffic.find_progress(server.service)
        if move is None or progress is None:
            return _is_standing(rules, server)
        if server.version == move.to_version:
            return _may_take_new(rules, call, move, progress)
        if server.version == move.from_version:
            return not _is_meant(call, progress) or not _has_room(
                rules, call, move.to_version
            )
        return False

    return may_take


def _is_standing(rules: VersionRules, server: BackendServer) -> bool:
    standing = rules.traffic.find_standing(server.service)
    if standing is None or server.version == standing:
        return True
    return not _is_there(rules, server, standing)


def _may_take_new(
    rules: VersionRules, call: Call, move: VersionMove, progress: MoveProgress
) -> bool:
    if progress.brake is not None:
        return False
    if _is_meant(call, progress):
        return True
    every = rules.traffic.directory.list_servers(move.service)
    return not any(
        one.version == move.from_version and not one.leaving for one in every
    )


def _is_there(
    rules: VersionRules, server: BackendServer, version: VersionName
) -> bool:
    every = rules.traffic.directory.list_servers(server.service)
    return any(one.version == version and not one.leaving for one in every)


def _has_room(rules: VersionRules, call: Call, version: VersionName) -> bool:
    every = rules.traffic.directory.list_servers(call.service)
    return any(
        one.version == version and rules.has_room(call, one) for one in every
    )


def _is_meant(call: Call, progress: MoveProgress) -> bool:
    share = progress.find_share(call.route)
    if not 0 < share < 1:
        return share > 0
    return draw(call) < share


def draw(call: Call) -> float:
    """Give a number from 0 to 1 that stays with a call.

    Args:
        call: The call.
    """
    name = f'{call.deadline!r} {call.customer} {call.target} {call.key}'
    return xxhash.xxh3_64_intdigest(name.encode()) / DRAWS


def make_version_begin(rules: VersionRules) -> Begin:
    """Make the function that sees each call just before it is sent.

    Args:
        rules: What it looks at.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        if _is_stopped(rules, server):
            return False
        check_version(rules, server)
        return True

    return begin


def _is_stopped(rules: VersionRules, server: BackendServer) -> bool:
    traffic = rules.traffic
    if traffic.view.is_taken_back(server.service, server.version):
        return True
    move = traffic.moves.get(server.service)
    progress = traffic.find_progress(server.service)
    if move is None or progress is None or progress.brake is None:
        return False
    return server.version == move.to_version


def check_version(rules: VersionRules, server: BackendServer) -> None:
    """Assert that a server which gets a call is of no version known as bad.

    Args:
        rules: What is looked at.
        server: The server.
    """
    assert not _is_stopped(rules, server), (
        f'{server.id} of {server.version} gets new work after the version '
        'was stopped'
    )


def make_version_observer(rules: VersionRules) -> Observe:
    """Make the observer that collects the evidence of moves.

    Args:
        rules: What it looks at.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        move = rules.traffic.moves.get(server.service)
        progress = rules.traffic.find_progress(server.service)
        if move is None or progress is None or progress.brake is not None:
            return
        expired = rules.timers.now() >= call.deadline
        sample = make_sample(server, attempt, took, expired=expired)
        if sample is None:
            return
        load = (attempt.report and attempt.report.in_flight) or 0
        if server.version == move.to_version:
            progress.add_new(call.route, load, sample)
        elif server.version == move.from_version:
            progress.add_old(call.route, load, sample)
        if progress.brake is not None:
            rules.tell_peers()

    return observe
