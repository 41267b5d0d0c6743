"""Table of the members, with look-ups by host and by incarnation."""

import attrs

from ebonystream._ids import HostId, Incarnation, ZoneName
from ebonystream.membership._member import Member
from ebonystream.membership._ranking import choose_host
from ebonystream.membership._state import MemberState
from ebonystream.membership._views import MemberView, make_member_view


@attrs.frozen(kw_only=True)
class Identity:
    """Identity of this entry host.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host; each restart starts a new one.
        zone: Availability zone of the host.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName


@attrs.define(kw_only=True)
class MemberTable:
    """All entry hosts that this host knows.

    Attributes:
        local: Identity of this host.
        leaving: Whether this host is shutting down.
        peers: Other hosts, by name.
        hosts_by_incarnation: Host of each confirmed incarnation.
    """

    local: Identity
    leaving: bool = False
    peers: dict[HostId, Member] = attrs.field(factory=dict)
    hosts_by_incarnation: dict[Incarnation, HostId] = attrs.field(factory=dict)

    def list_members(self) -> tuple[MemberView, ...]:
        """List the current state and latest heartbeat of every peer."""
        return tuple(map(make_member_view, self.peers.values()))

    def has_confirmed_all(self) -> bool:
        """Return whether each peer has been confirmed at least once."""
        return not any(
            member.state is MemberState.LISTED for member in self.peers.values()
        )

    def list_eligible(self) -> tuple[HostId, ...]:
        """List the hosts that may be assigned duties.

        These are the reachable peers, and this host unless it is leaving.
        """
        eligible = [
            host
            for host, member in self.peers.items()
            if member.state is MemberState.REACHABLE
        ]
        if not self.leaving:
            eligible.append(self.local.host)
        return tuple(eligible)

    def find_owner(self, key: str) -> HostId | None:
        """Return the host that a duty is assigned to, as this host sees it.

        Two hosts may disagree while their views of the members differ.

        Args:
            key: Name of the duty, such as a slice or a backend server.
        """
        return choose_host(self.list_eligible(), key)

    def find_host(self, incarnation: Incarnation) -> HostId | None:
        """Return the host of an incarnation; None if it is not confirmed.

        Args:
            incarnation: Incarnation of any entry host.
        """
        if incarnation == self.local.incarnation:
            return self.local.host
        return self.hosts_by_incarnation.get(incarnation)

    def index_incarnations(self) -> None:
        """Rebuild the index of confirmed incarnations."""
        confirmed = [
            (member.confirmed.incarnation, host)
            for host, member in self.peers.items()
            if member.confirmed is not None
        ]
        self.hosts_by_incarnation = dict(confirmed)
        assert len(self.hosts_by_incarnation) == len(confirmed), (
            'two hosts have the same incarnation'
        )
        assert self.local.incarnation not in self.hosts_by_incarnation, (
            'a peer has the incarnation of this host'
        )
