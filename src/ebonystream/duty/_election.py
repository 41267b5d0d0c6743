"""Choice of the host that should hold a duty, from what gossip reports."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import FencingToken, HostId


@attrs.frozen(kw_only=True)
class Candidate:
    """What a host knows about one host that may hold the duty.

    Attributes:
        host: Name of the host.
        leads_zone: Whether it is the leader of its zone.
        leaving: Whether it is shutting down.
        acting: Whether it says that it should hold the duty.
        unfit: Whether it says that it lately could not perform the duty.
        token: The newest token that it knows.
        has_token: Whether that token is its own.
    """

    host: HostId
    leads_zone: bool
    leaving: bool
    acting: bool
    unfit: bool
    token: FencingToken
    has_token: bool


def elect_holder(candidates: Iterable[Candidate]) -> HostId | None:
    """Return the host that should hold the duty; None if there is none.

    A host that performs the duty keeps it, so that the duty does not move
    whenever a host with a lower name starts. Otherwise it is the zone leader
    with the lowest name, preferably one that is able to perform the duty. Two
    hosts may elect differently; the topic decides between them.

    Args:
        candidates: The hosts that are alive.
    """
    known = list(candidates)
    # If all hosts are shutting down, the duty stays with one of them.
    staying = [host for host in known if not host.leaving] or known
    acting = [host for host in staying if host.acting and not host.unfit]
    if acting:
        return min(acting, key=_rank_acting).host
    leaders = [host for host in staying if host.leads_zone] or staying
    if not leaders:
        return None
    return min(leaders, key=lambda host: (host.unfit, host.host)).host


def _rank_acting(candidate: Candidate) -> tuple[int, bool, HostId]:
    """Prefer the newest token, then its holder, then the lowest name."""
    return (-candidate.token, not candidate.has_token, candidate.host)
