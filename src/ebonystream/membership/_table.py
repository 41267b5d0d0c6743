"""Look-ups in the members, for the parts that send to them."""

import attrs

from ebonystream._ids import HostId, Incarnation, ZoneName
from ebonystream.membership._member import Member
from ebonystream.membership._ranking import choose_first
from ebonystream.membership._state import MemberState
from ebonystream.membership._views import MemberView, show_member


@attrs.frozen(kw_only=True)
class Identity:
    """Who this entry host is.

    Attributes:
        host: Names it.
        incarnation: Names this run of it.
        zone: The availability zone it stands in.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName


@attrs.define(kw_only=True)
class MemberTable:
    """Every entry host that this host knows.

    Attributes:
        own: This host.
        leaving: Whether this host is stopping.
        peers: The other hosts.
        hosts: The host of each incarnation that is believed.
    """

    own: Identity
    leaving: bool = False
    peers: dict[HostId, Member] = attrs.field(factory=dict)
    hosts: dict[Incarnation, HostId] = attrs.field(factory=dict)

    def list_members(self) -> tuple[MemberView, ...]:
        """Give every peer as it stands now, with its newest heartbeat."""
        return tuple(map(show_member, self.peers.values()))

    def is_met(self) -> bool:
        """Tell whether each listed peer was heard at least once."""
        return not any(
            member.state is MemberState.LISTED for member in self.peers.values()
        )

    def list_fit(self) -> tuple[HostId, ...]:
        """Give the hosts that may get duties: reachable ones and this one."""
        fit = [
            host
            for host, member in self.peers.items()
            if member.state is MemberState.REACHABLE
        ]
        if not self.leaving:
            fit.append(self.own.host)
        return tuple(fit)

    def find_owner(self, key: str) -> HostId | None:
        """Give the host that a duty falls to, as this host sees it.

        Two hosts may disagree while their views of the members differ.

        Args:
            key: Names the duty, such as a slice or a backend server.
        """
        return choose_first(self.list_fit(), key)

    def find_host(self, incarnation: Incarnation) -> HostId | None:
        """Give the host of an incarnation; None where it is not believed.

        Args:
            incarnation: Names a run of any entry host.
        """
        if incarnation == self.own.incarnation:
            return self.own.host
        return self.hosts.get(incarnation)

    def index_lives(self) -> None:
        """Note the incarnations that are believed now."""
        lives = [
            (member.life.incarnation, host)
            for host, member in self.peers.items()
            if member.life is not None
        ]
        self.hosts = dict(lives)
        assert len(self.hosts) == len(lives), (
            'two hosts have the same incarnation'
        )
        assert self.own.incarnation not in self.hosts, (
            'a peer has the incarnation of this host'
        )
