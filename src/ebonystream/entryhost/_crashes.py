"""Detection of requests that crash the servers that run them.

A connection that ends without a response may mean a crash or a lost response.
It counts as a crash if the server does not respond to the next probe either,
or if no connection to it can be opened.
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
    compute_fingerprint,
)


def update_suspects_from_attempt(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Update the suspects from the result of an attempt.

    Args:
        parts: The state of the host.
        request: The request of the attempt.
        route: The route of the request.
        attempt: The attempt, after its end.
    """
    server = attempt.candidate.probe_result.server
    now = parts.timers.now()
    if attempt.failure is ExchangeFailure.INTERRUPTED:
        parts.interrupted_requests.add(
            server.entry.id,
            InterruptedRequest(
                _compute_fingerprint(request),
                sent_at=Monotonic(now - attempt.duration),
                interrupted_at=now,
            ),
        )
    elif attempt.failure is ExchangeFailure.UNREACHABLE:
        _record_crash(parts, server, now)
    elif attempt.is_served() and parts.suspects.crashes:
        parts.suspects.clear(_compute_fingerprint(request))


def update_suspects_from_probe(parts: HostParts, result: ProbeResult) -> None:
    """Update the suspects from a probe of the server that ran them.

    Args:
        parts: The state of the host.
        result: The result of the probe.
    """
    if result.report is None:
        _record_crash(parts, result.server, result.sent_at)
    else:
        parts.interrupted_requests.pop_before(
            result.server.entry.id, result.sent_at
        )


def refuse_crashing_request(
    parts: HostParts, request: Request
) -> Response | None:
    """Return the refusal of a request that has crashed two servers.

    Returns None for any other request.

    Args:
        parts: The state of the host.
        request: The request.
    """
    if not parts.suspects.crashes:
        return None
    fingerprint = _compute_fingerprint(request)
    if not parts.suspects.is_refused(fingerprint):
        return None
    return make_error_response(
        EbonystreamError(ErrorKind.CRASHES_BACKENDS, fingerprint)
    )


def _compute_fingerprint(request: Request) -> Fingerprint:
    return compute_fingerprint(
        request.host, request.method, request.target, body=request.body
    )


def _record_crash(
    parts: HostParts, server: KnownServer, detected_at: Monotonic
) -> None:
    """Record that a server crashed, if any requests to it were interrupted."""
    entry = server.entry
    interrupted = parts.interrupted_requests.pop_before(entry.id, detected_at)
    if not interrupted:
        return
    # A crash ends all connections at once; earlier ends were lost responses.
    crashed_at = max(request.interrupted_at for request in interrupted)
    crash = parts.suspects.get_or_add(
        CrashId(entry.id, str(entry.started)), crashed_at
    )
    fingerprints = [request.fingerprint for request in interrupted]
    for ended in interrupted:
        parts.suspects.record_interruption(
            crash, ended.fingerprint, ended.sent_at
        )
    parts.log_event(
        'server_ended',
        server=entry.id,
        requests=fingerprints,
        suspicions=[crash.describe_suspicion(each) for each in fingerprints],
        silent_s=round(detected_at - interrupted[0].interrupted_at, 3),
    )
