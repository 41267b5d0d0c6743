"""Contents of heartbeats that describe backend servers."""

from collections.abc import Iterable, Iterator

from ebonystream._ids import HostId
from ebonystream.backend import ServerPhase, Standing
from ebonystream.composition._servers import ServerRules
from ebonystream.membership import HeartbeatContents
from ebonystream.peer import (
    Heartbeat,
    ServerStanding,
    StoppedVersion,
    VersionEvidence,
)
from ebonystream.version import RouteEvidence, StoppedMove, Tally


def make_server_contents(rules: ServerRules) -> HeartbeatContents:
    """Return what the next heartbeat contains about backend servers.

    Args:
        rules: The rules on calls to backend servers.
    """
    return HeartbeatContents(
        wants=rules.fleet.wanted_servers.list_wanted(),
        brakes=tuple(
            StoppedVersion(stopped.move, stopped.version, stopped.reason)
            for stopped in rules.evidence_exchange.list_stopped_moves()
        ),
        suspects=rules.suspect_exchange.encode_notes(),
        standings=tuple(
            ServerStanding(
                standing.server,
                standing.epoch,
                standing.phase.value,
                standing.boot,
            )
            for standing in rules.standing_exchange.list_standings()
        ),
        evidence=tuple(
            VersionEvidence(
                evidence.move,
                evidence.route,
                evidence.tally.groups,
                evidence.tally.failure_gains,
                evidence.tally.latency_gains,
            )
            for evidence in rules.evidence_exchange.list_evidence()
        ),
    )


def apply_server_contents(rules: ServerRules, heartbeat: Heartbeat) -> None:
    """Apply what a peer's heartbeat contains about backend servers.

    Args:
        rules: The rules on calls to backend servers.
        heartbeat: An accepted heartbeat; malformed parts of it are counted and
            dropped.
    """
    rules.standing_exchange.merge_standings(
        _decode_standings(rules, heartbeat.standings)
    )
    rules.suspect_exchange.update_from_notes(heartbeat.suspects)
    rules.evidence_exchange.apply_stopped_moves(
        StoppedMove(
            move=stopped.move, version=stopped.version, reason=stopped.reason
        )
        for stopped in heartbeat.brakes
    )
    rules.evidence_exchange.apply_evidence(
        HostId(f'{heartbeat.host} {heartbeat.incarnation}'),
        map(_decode_evidence, heartbeat.evidence),
    )


def _decode_standings(
    rules: ServerRules, received: Iterable[ServerStanding]
) -> Iterator[Standing]:
    for standing in received:
        try:
            phase = ServerPhase(standing.phase)
        except ValueError:
            rules.standing_exchange.dropped += 1
            continue
        yield Standing(
            server=standing.server,
            epoch=standing.epoch,
            phase=phase,
            boot=standing.boot,
        )


def _decode_evidence(evidence: VersionEvidence) -> RouteEvidence:
    return RouteEvidence(
        move=evidence.move,
        route=evidence.route,
        tally=Tally(
            evidence.groups, evidence.failure_gains, evidence.latency_gains
        ),
    )
