"""What heartbeats carry of backend servers, and what is learned from them."""

from collections.abc import Iterable, Iterator

from ebonystream._ids import HostId
from ebonystream.backend import ServerPhase, Standing
from ebonystream.composition._servers import ServerRules
from ebonystream.membership import HeartbeatContents
from ebonystream.peer import (
    Heartbeat,
    ServerStanding,
    VersionBrake,
    VersionEvidence,
)
from ebonystream.version import RouteEvidence, StoppedMove, Tally


def fill_server_words(rules: ServerRules) -> HeartbeatContents:
    """Give what the next heartbeat tells of backend servers.

    Args:
        rules: The rules of this host.
    """
    return HeartbeatContents(
        wants=rules.view.wants.list_wanted(),
        brakes=tuple(
            VersionBrake(one.move, one.version, one.reason)
            for one in rules.evidence.list_stopped_moves()
        ),
        suspects=rules.suspects.encode_notes(),
        standings=tuple(
            ServerStanding(one.server, one.epoch, one.phase.value, one.boot)
            for one in rules.standings.list_standings()
        ),
        evidence=tuple(
            VersionEvidence(
                one.move,
                one.route,
                one.tally.groups,
                one.tally.failure_gains,
                one.tally.latency_gains,
            )
            for one in rules.evidence.list_evidence()
        ),
    )


def take_server_words(rules: ServerRules, heartbeat: Heartbeat) -> None:
    """Learn what a peer's heartbeat tells of backend servers.

    Args:
        rules: The rules of this host.
        heartbeat: A heartbeat that is believed; malformed parts of it are
            counted and dropped.
    """
    rules.standings.merge_standings(_read_standings(rules, heartbeat.standings))
    rules.suspects.update_from_notes(heartbeat.suspects)
    rules.evidence.apply_stopped_moves(
        StoppedMove(move=one.move, version=one.version, reason=one.reason)
        for one in heartbeat.brakes
    )
    rules.evidence.apply_evidence(
        HostId(f'{heartbeat.host} {heartbeat.incarnation}'),
        map(_read_evidence, heartbeat.evidence),
    )


def _read_standings(
    rules: ServerRules, sent: Iterable[ServerStanding]
) -> Iterator[Standing]:
    for one in sent:
        try:
            phase = ServerPhase(one.phase)
        except ValueError:
            rules.standings.dropped += 1
            continue
        yield Standing(
            server=one.server, epoch=one.epoch, phase=phase, boot=one.boot
        )


def _read_evidence(sent: VersionEvidence) -> RouteEvidence:
    return RouteEvidence(
        move=sent.move,
        route=sent.route,
        tally=Tally(sent.groups, sent.failures, sent.latency),
    )
