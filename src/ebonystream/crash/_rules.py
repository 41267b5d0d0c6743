"""Rules on requests that crash servers, as closures for dispatch."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import (
    Attempt,
    AttemptKind,
    BackendServer,
    Begin,
    Directory,
    MayTake,
    Observe,
    Place,
    ServerPhase,
)
from ebonystream.call import Call
from ebonystream.crash._fingerprint import make_fingerprint
from ebonystream.crash._running import RunningCall, RunningCalls
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.suspects import CrashId, SuspectTable, Suspicion


@attrs.frozen(kw_only=True)
class CrashRules:
    """State and callbacks that the crash rules share.

    Attributes:
        suspects: The known crashes.
        running: The calls of this host that are in flight.
        directory: The known servers.
        is_sponsor: Returns whether this host is the sponsor of a server.
            Suspects of two hosts never run at one server while each host
            sends its own only to servers that it sponsors.
        timers: Source of the current time.
        tell_peers: Called after a new suspicion, to send the next heartbeat
            at once.
    """

    suspects: SuspectTable
    running: RunningCalls
    directory: Directory
    is_sponsor: Callable[[ServerId], bool]
    timers: Timers
    tell_peers: Callable[[], None]


def make_crash_guard(rules: CrashRules, place: Place) -> Place:
    """Make a placement function that refuses requests which crash servers.

    Args:
        rules: The state to check calls against.
        place: The placement function for all other calls.
    """

    async def guard(call: Call, tried: set[ServerId]) -> BackendServer:
        check_refused(rules, call)
        return await place(call, tried)

    return guard


def check_refused(rules: CrashRules, call: Call) -> None:
    """Refuse a call whose request has crashed two servers.

    Args:
        rules: The state to check the call against.
        call: The call, before it is placed.

    Raises:
        EbonystreamError: The request has crashed two servers.
    """
    if not rules.suspects.crashes:
        return
    fingerprint = make_fingerprint(call)
    if rules.suspects.is_refused(fingerprint):
        raise EbonystreamError(ErrorKind.CRASHES_BACKENDS, fingerprint)


def make_crash_gate(rules: CrashRules) -> MayTake:
    """Make the predicate that isolates suspects from other calls.

    A server with a suspect in flight may take no other call. A suspect needs
    an idle server, one that this host sponsors if any of these is serving.

    Args:
        rules: The state that the predicate reads.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        if rules.running.is_isolated(server.id):
            return False
        if not _is_suspect(rules, call):
            return True
        if server.in_flight:
            return False
        sponsored = _list_sponsored(rules, call)
        return not sponsored or server.id in sponsored

    return may_take


def _is_suspect(rules: CrashRules, call: Call) -> bool:
    suspects = rules.suspects
    return bool(suspects.crashes) and suspects.is_suspected(
        make_fingerprint(call)
    )


def _list_sponsored(rules: CrashRules, call: Call) -> set[ServerId]:
    return {
        server.id
        for server in rules.directory.list_service(call.service)
        if rules.is_sponsor(server.id)
        and not server.leaving
        and server.warmth.phase is ServerPhase.SERVING
    }


def make_crash_begin(rules: CrashRules) -> Begin:
    """Make the function that checks and records each call before sending.

    It returns False if the call may no longer be sent: a suspect is in flight
    at the server, or the call is a suspect that is refused by now or would
    not be alone.

    Args:
        rules: The state that the function checks and updates.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        is_suspect = _is_suspect(rules, call)
        others = rules.running.list_at(server.id)
        if rules.running.is_isolated(server.id) or (is_suspect and others):
            return False
        if is_suspect and rules.suspects.is_refused(make_fingerprint(call)):
            return False
        rules.running.begin(
            server.id,
            RunningCall(
                call=call,
                run=_identify_incarnation(server),
                began=rules.timers.now(),
                as_suspect=is_suspect,
            ),
        )
        check_isolation(rules, server.id)
        return True

    return begin


def check_isolation(rules: CrashRules, server: ServerId) -> None:
    """Assert that suspects run alone and that refused requests do not run.

    Args:
        rules: The state to check.
        server: The server that the latest call is sent to.
    """
    running = rules.running.list_at(server)
    isolated = rules.running.is_isolated(server)
    assert len(running) == 1 or not isolated, (
        f'{server} runs a suspect beside {len(running) - 1} other calls'
    )
    fingerprint = make_fingerprint(running[-1].call)
    assert not rules.suspects.is_refused(fingerprint), (
        f'{server} was sent {fingerprint}, which crashes servers'
    )


def make_crash_observer(rules: CrashRules) -> Observe:
    """Make the observer that records which requests crash servers.

    It has to come before the observers that record new incarnations, so that
    a crash is attributed to the incarnation that ended.

    Args:
        rules: The state that the observer updates.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        ended = rules.running.end(server.id, call)
        if ended is None:
            return
        if attempt.kind is AttemptKind.CUT:
            _record_crash(rules, server, ended)
        elif attempt.report is not None and rules.suspects.crashes:
            _record_response(rules, server, ended, attempt)

    return observe


def _record_crash(
    rules: CrashRules, server: BackendServer, ended: RunningCall
) -> None:
    now = rules.timers.now()
    crash = rules.suspects.take(CrashId(server.id, ended.run), now)
    for running in (ended, *rules.running.list_at(server.id)):
        if running.run == ended.run:
            rules.suspects.suspect(
                crash,
                make_fingerprint(running.call),
                Suspicion.AGAIN if running.as_suspect else Suspicion.FIRST,
            )
    rules.tell_peers()


def _identify_incarnation(server: BackendServer) -> str:
    boot = server.warmth.boots.current
    return boot or f'epoch {server.warmth.epoch}'


def _record_response(
    rules: CrashRules,
    server: BackendServer,
    ended: RunningCall,
    attempt: Attempt,
) -> None:
    if attempt.kind is AttemptKind.ANSWERED:
        rules.suspects.clear(make_fingerprint(ended.call))
    boot = attempt.report.boot if attempt.report else None
    crash = rules.suspects.crashes.get(CrashId(server.id, boot or ''))
    if crash is not None and ended.began > crash.at:
        crash.void(rules.timers.now())
