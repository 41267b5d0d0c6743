"""Learning which requests end the servers that run them.

A connection that ends without an answer may mean a crash or a lost answer. It
counts as a crash where the server doesn't answer the next question either.
"""

from ebonystream._ids import Monotonic
from ebonystream.dispatch import Attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.link import ExchangeFailure
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, Response, make_error_response
from ebonystream.roster import KnownServer
from ebonystream.route import Route
from ebonystream.suspects import (
    CrashId,
    Fingerprint,
    InterruptedRequest,
    Suspicion,
    compute_fingerprint,
)


def note_cut(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Keep a request that was cut off; an observer of attempts.

    Args:
        parts: The state of the host.
        request: The request.
        route: Its route.
        attempt: The attempt.
    """
    server = attempt.offer.probe_result.server
    now = parts.timers.now()
    if attempt.failure is ExchangeFailure.INTERRUPTED:
        parts.cuts.add(
            server.entry.id, InterruptedRequest(_digest(request), now)
        )
    elif attempt.failure is ExchangeFailure.UNREACHABLE:
        _hold_against(parts, server, now)
    elif attempt.is_served() and parts.suspects.crashes:
        parts.suspects.clear(_digest(request))


def note_silence(parts: HostParts, sighting: ProbeResult) -> None:
    """Learn from a question whether a server that cut requests off is there.

    Args:
        parts: The state of the host.
        sighting: What the question brought.
    """
    if sighting.report is None:
        _hold_against(parts, sighting.server, sighting.sent_at)
    else:
        parts.cuts.pop_before(sighting.server.entry.id, sighting.sent_at)


def refuse_crashing(parts: HostParts, request: Request) -> Response | None:
    """Refuse a request that has ended two servers; None for any other.

    Args:
        parts: The state of the host.
        request: The request.
    """
    if not parts.suspects.crashes:
        return None
    fingerprint = _digest(request)
    if not parts.suspects.is_refused(fingerprint):
        return None
    return make_error_response(
        EbonystreamError(ErrorKind.CRASHES_BACKENDS, fingerprint)
    )


def _digest(request: Request) -> Fingerprint:
    return compute_fingerprint(
        request.host, request.method, request.target, body=request.body
    )


def _hold_against(
    parts: HostParts, server: KnownServer, asked: Monotonic
) -> None:
    """Hold the end of a server against the requests that it cut off."""
    entry = server.entry
    cuts = parts.cuts.pop_before(entry.id, asked)
    if not cuts:
        return
    crash = parts.suspects.get_or_add(
        CrashId(entry.id, str(entry.started)), asked
    )
    fingerprints = [cut.fingerprint for cut in cuts]
    for fingerprint in fingerprints:
        again = parts.suspects.is_suspected(fingerprint, excluding=crash)
        suspicion = Suspicion.REPEATED if again else Suspicion.SUSPECTED
        parts.suspects.record_suspicion(crash, fingerprint, suspicion)
    parts.note(
        'server_ended',
        server=entry.id,
        requests=fingerprints,
        silent_s=round(asked - cuts[0].interrupted_at, 3),
    )
