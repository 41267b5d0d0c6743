"""Rules of version moves, as closures for dispatch."""

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

HASH_VALUES = 18_446_744_073_709_551_616
"""Number of values of a 64-bit hash."""


@attrs.frozen(kw_only=True)
class VersionRules:
    """State and callbacks that the rules of version moves share.

    Attributes:
        traffic: The open version moves on this host.
        has_room: Returns whether a server could take a call at once.
        timers: Source of the current time.
        notify_peers: Called after a move was stopped, to send the next
            heartbeat at once.
    """

    traffic: VersionTraffic
    has_room: MayTake
    timers: Timers
    notify_peers: Callable[[], None]


def make_version_gate(rules: VersionRules) -> MayTake:
    """Make the predicate that restricts a call to servers of its version.

    During a move each call is drawn for one of the two versions. A call drawn
    for the new version may still go to the old one while no server of the new
    version has room. A call drawn for the old version goes to the new one only
    if no server of the old version is left.

    Args:
        rules: The state that the predicate reads.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        traffic = rules.traffic
        if traffic.view.is_rolled_back(server.service, server.version):
            return False
        move = traffic.moves.get(server.service)
        progress = traffic.find_progress(server.service)
        if move is None or progress is None:
            return _is_current_version(rules, server)
        if server.version == move.to_version:
            return _may_take_new_version(rules, call, move, progress)
        if server.version == move.from_version:
            return not _is_drawn_for_new(call, progress) or not _has_room(
                rules, call, move.to_version
            )
        return False

    return may_take


def _is_current_version(rules: VersionRules, server: BackendServer) -> bool:
    current = rules.traffic.find_current_version(server.service)
    if current is None or server.version == current:
        return True
    return not _has_version(rules, server, current)


def _may_take_new_version(
    rules: VersionRules, call: Call, move: VersionMove, progress: MoveProgress
) -> bool:
    if progress.stop_reason is not None:
        return False
    if _is_drawn_for_new(call, progress):
        return True
    servers = rules.traffic.directory.list_servers(move.service)
    return not any(
        server.version == move.from_version and not server.leaving
        for server in servers
    )


def _has_version(
    rules: VersionRules, server: BackendServer, version: VersionName
) -> bool:
    candidates = rules.traffic.directory.list_servers(server.service)
    return any(
        candidate.version == version and not candidate.leaving
        for candidate in candidates
    )


def _has_room(rules: VersionRules, call: Call, version: VersionName) -> bool:
    servers = rules.traffic.directory.list_servers(call.service)
    return any(
        server.version == version and rules.has_room(call, server)
        for server in servers
    )


def _is_drawn_for_new(call: Call, progress: MoveProgress) -> bool:
    share = progress.get_traffic_share(call.route)
    if not 0 < share < 1:
        return share > 0
    return compute_version_draw(call) < share


def compute_version_draw(call: Call) -> float:
    """Compute a pseudo-random number from 0 to 1 that is fixed for each call.

    The gate is evaluated for each server and each attempt, and has to draw the
    same version for a call each time.

    Args:
        call: The call.
    """
    identity = f'{call.deadline!r} {call.customer} {call.target} {call.key}'
    return xxhash.xxh3_64_intdigest(identity.encode()) / HASH_VALUES


def make_version_begin(rules: VersionRules) -> Begin:
    """Make the function that checks each call just before it is sent.

    It returns False if the version of the server has been stopped meanwhile.

    Args:
        rules: The state that the function reads.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        if _is_stopped(rules, server):
            return False
        check_not_stopped(rules, server)
        return True

    return begin


def _is_stopped(rules: VersionRules, server: BackendServer) -> bool:
    traffic = rules.traffic
    if traffic.view.is_rolled_back(server.service, server.version):
        return True
    move = traffic.moves.get(server.service)
    progress = traffic.find_progress(server.service)
    if move is None or progress is None or progress.stop_reason is None:
        return False
    return server.version == move.to_version


def check_not_stopped(rules: VersionRules, server: BackendServer) -> None:
    """Assert that the version of a server which receives a call is not stopped.

    Args:
        rules: The state to check against.
        server: The server that receives the call.
    """
    assert not _is_stopped(rules, server), (
        f'{server.id} of {server.version} receives a call after the '
        'version was stopped'
    )


def make_version_observer(rules: VersionRules) -> Observe:
    """Make the observer that records attempts as evidence for open moves.

    Args:
        rules: The state that the observer updates.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        move = rules.traffic.moves.get(server.service)
        progress = rules.traffic.find_progress(server.service)
        if move is None or progress is None or progress.stop_reason is not None:
            return
        expired = rules.timers.now() >= call.deadline
        sample = make_sample(server, attempt, duration, expired=expired)
        if sample is None:
            return
        load = (attempt.report and attempt.report.in_flight) or 0
        if server.version == move.to_version:
            progress.record_new(call.route, load, sample)
        elif server.version == move.from_version:
            progress.record_old(call.route, load, sample)
        if progress.stop_reason is not None:
            rules.notify_peers()

    return observe
