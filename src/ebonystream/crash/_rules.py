"""The rules on requests that crash servers, as closures for dispatch."""

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
    """What the rules on crashes are made of.

    Attributes:
        suspects: The crashes that are known.
        running: The calls in flight.
        directory: The servers that are known.
        is_sponsor: Tells whether this host is a server's sponsor; suspects
            of two hosts never meet at one server where each keeps to its own.
        timers: Tells the time.
        tell_peers: Wakes the heartbeats where something new is held.
    """

    suspects: SuspectTable
    running: RunningCalls
    directory: Directory
    is_sponsor: Callable[[ServerId], bool]
    timers: Timers
    tell_peers: Callable[[], None]


def make_crash_guard(rules: CrashRules, place: Place) -> Place:
    """Make a placing that refuses requests which end servers.

    Args:
        rules: What it looks at.
        place: Finds a server for any other call.
    """

    async def guard(call: Call, tried: set[ServerId]) -> BackendServer:
        check_refused(rules, call)
        return await place(call, tried)

    return guard


def check_refused(rules: CrashRules, call: Call) -> None:
    """Refuse a call whose request has ended two servers.

    Args:
        rules: What is looked at.
        call: The call.

    Raises:
        EbonystreamError: The call is refused.
    """
    if not rules.suspects.crashes:
        return
    fingerprint = make_fingerprint(call)
    if rules.suspects.is_refused(fingerprint):
        raise EbonystreamError(ErrorKind.CRASHES_BACKENDS, fingerprint)


def make_crash_gate(rules: CrashRules) -> MayTake:
    """Make the predicate that lets suspects run alone.

    Args:
        rules: What it looks at.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        if rules.running.is_isolated(server.id):
            return False
        if not _is_suspect(rules, call):
            return True
        if server.in_flight:
            return False
        own = _list_own(rules, call)
        return not own or server.id in own

    return may_take


def _is_suspect(rules: CrashRules, call: Call) -> bool:
    suspects = rules.suspects
    return bool(suspects.crashes) and suspects.is_suspected(
        make_fingerprint(call)
    )


def _list_own(rules: CrashRules, call: Call) -> set[ServerId]:
    return {
        server.id
        for server in rules.directory.list_service(call.service)
        if rules.is_sponsor(server.id)
        and not server.leaving
        and server.warmth.phase is ServerPhase.SERVING
    }


def make_crash_begin(rules: CrashRules) -> Begin:
    """Make the function that sees each call just before it is sent.

    Args:
        rules: What it looks at.
    """

    def begin(call: Call, server: BackendServer) -> bool:
        is_suspect = _is_suspect(rules, call)
        beside = rules.running.list_at(server.id)
        if rules.running.is_isolated(server.id) or (is_suspect and beside):
            return False
        if is_suspect and rules.suspects.is_refused(make_fingerprint(call)):
            return False
        rules.running.begin(
            server.id,
            RunningCall(
                call=call,
                run=_name_run(server),
                began=rules.timers.now(),
                as_suspect=is_suspect,
            ),
        )
        check_isolation(rules, server.id)
        return True

    return begin


def check_isolation(rules: CrashRules, server: ServerId) -> None:
    """Assert that a suspect runs alone and no refused request runs at all.

    Args:
        rules: What is looked at.
        server: Where a call was sent now.
    """
    running = rules.running.list_at(server)
    isolated = rules.running.is_isolated(server)
    assert len(running) == 1 or not isolated, (
        f'{server} runs a suspect beside {len(running) - 1} other calls'
    )
    fingerprint = make_fingerprint(running[-1].call)
    assert not rules.suspects.is_refused(fingerprint), (
        f'{server} was sent {fingerprint}, which ends servers'
    )


def make_crash_observer(rules: CrashRules) -> Observe:
    """Make the observer that learns which requests end servers.

    It stands before those that learn of new runs, so that a crash is held
    against the run that ended.

    Args:
        rules: What it looks at.
    """

    def observe(
        call: Call, server: BackendServer, attempt: Attempt, took: Seconds
    ) -> None:
        ended = rules.running.end(server.id, call)
        if ended is None:
            return
        if attempt.kind is AttemptKind.CUT:
            _note_crash(rules, server, ended)
        elif attempt.report is not None and rules.suspects.crashes:
            _note_answer(rules, server, ended, attempt)

    return observe


def _note_crash(
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


def _name_run(server: BackendServer) -> str:
    boot = server.warmth.boots.current
    return boot or f'epoch {server.warmth.epoch}'


def _note_answer(
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
