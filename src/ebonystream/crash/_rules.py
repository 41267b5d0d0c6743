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
from ebonystream.crash._fingerprint import compute_call_fingerprint
from ebonystream.crash._in_flight import InFlightCall, InFlightCalls
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.suspects import CrashId, SuspectTable, Suspicion


@attrs.frozen(kw_only=True)
class CrashRules:
    """State and callbacks that the crash rules share.

    Attributes:
        suspects: The known crashes.
        in_flight: The calls of this host that are in flight.
        directory: The known servers.
        is_sponsor: Returns whether this host is the sponsor of a server.
            Suspects of two hosts never run at one server while each host
            sends its own only to servers that it sponsors.
        timers: Source of the current time.
        notify_peers: Called after a new suspicion, to send the next heartbeat
            at once.
    """

    suspects: SuspectTable
    in_flight: InFlightCalls
    directory: Directory
    is_sponsor: Callable[[ServerId], bool]
    timers: Timers
    notify_peers: Callable[[], None]


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
    fingerprint = compute_call_fingerprint(call)
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
        if rules.in_flight.has_suspect(server.id):
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
        compute_call_fingerprint(call)
    )


def _list_sponsored(rules: CrashRules, call: Call) -> set[ServerId]:
    return {
        server.id
        for server in rules.directory.list_servers(call.service)
        if rules.is_sponsor(server.id)
        and not server.leaving
        and server.lifecycle.phase is ServerPhase.SERVING
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
        others = rules.in_flight.list_calls(server.id)
        if rules.in_flight.has_suspect(server.id) or (is_suspect and others):
            return False
        if is_suspect and rules.suspects.is_refused(
            compute_call_fingerprint(call)
        ):
            return False
        rules.in_flight.add(
            server.id,
            InFlightCall(
                call=call,
                incarnation=_identify_incarnation(server),
                sent_at=rules.timers.now(),
                is_suspect=is_suspect,
            ),
        )
        assert_isolation(rules, server.id)
        return True

    return begin


def assert_isolation(rules: CrashRules, server: ServerId) -> None:
    """Assert that suspects run alone and that refused requests do not run.

    Args:
        rules: The state to check.
        server: The server that the latest call is sent to.
    """
    running = rules.in_flight.list_calls(server)
    isolated = rules.in_flight.has_suspect(server)
    assert len(running) == 1 or not isolated, (
        f'{server} runs a suspect beside {len(running) - 1} other calls'
    )
    fingerprint = compute_call_fingerprint(running[-1].call)
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
        call: Call, server: BackendServer, attempt: Attempt, duration: Seconds
    ) -> None:
        ended = rules.in_flight.remove(server.id, call)
        if ended is None:
            return
        if attempt.kind is AttemptKind.INTERRUPTED:
            _record_crash(rules, server, ended)
        elif attempt.report is not None and rules.suspects.crashes:
            _record_response(rules, server, ended, attempt)

    return observe


def _record_crash(
    rules: CrashRules, server: BackendServer, ended: InFlightCall
) -> None:
    now = rules.timers.now()
    crash = rules.suspects.get_or_add(
        CrashId(server.id, ended.incarnation), now
    )
    for running in (ended, *rules.in_flight.list_calls(server.id)):
        if running.incarnation == ended.incarnation:
            rules.suspects.record_suspicion(
                crash,
                compute_call_fingerprint(running.call),
                Suspicion.REPEATED
                if running.is_suspect
                else Suspicion.SUSPECTED,
            )
    rules.notify_peers()


def _identify_incarnation(server: BackendServer) -> str:
    boot = server.lifecycle.boots.current
    return boot or f'epoch {server.lifecycle.epoch}'


def _record_response(
    rules: CrashRules,
    server: BackendServer,
    ended: InFlightCall,
    attempt: Attempt,
) -> None:
    if attempt.kind is AttemptKind.ANSWERED:
        rules.suspects.clear(compute_call_fingerprint(ended.call))
    boot = attempt.report.boot if attempt.report else None
    crash = rules.suspects.crashes.get(CrashId(server.id, boot or ''))
    # The same incarnation answered a call sent after its crash, so it never
    # crashed.
    if crash is not None and ended.sent_at > crash.crashed_at:
        crash.retract(rules.timers.now())
