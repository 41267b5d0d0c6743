"""Newest facts of each host, liveness of hosts, and leaders of zones."""

from collections.abc import Mapping
from random import Random

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ZoneName
from ebonystream.gossip._facts import HostFacts

ALIVE_TIMEOUT = Seconds(2.5)
"""How long a host counts as alive after its last message."""

INCARNATION_TIMEOUT = Seconds(1.2)
"""Silence after which another incarnation is accepted, even an earlier one.

Incarnations are ordered by the clock of the host, which may have gone back
before its restart.
"""

EVICTION_TIMEOUT = Seconds(60)
"""Silence after which a host is removed from the table."""


@attrs.frozen
class _Entry:
    facts: HostFacts
    received_at: Monotonic


@attrs.define
class HostFactTable:
    """Newest facts of each host, including the local one.

    Attributes:
        local_host: Name of the local host.
        local_zone: Availability zone of the local host.
    """

    local_host: HostId
    local_zone: ZoneName
    _entries: dict[HostId, _Entry] = attrs.field(factory=dict)

    def update(self, facts: HostFacts, now: Monotonic) -> bool:
        """Store the facts of a host unless newer ones are known.

        Args:
            facts: Facts reported by the host.
            now: Time at which they were received.

        Returns:
            Whether the host was unknown or has a new incarnation.
        """
        known = self._entries.get(facts.host)
        if known is None:
            self._entries[facts.host] = _Entry(facts, now)
            return True
        same_incarnation = known.facts.incarnation == facts.incarnation
        if same_incarnation and facts.sequence <= known.facts.sequence:
            return False
        is_silent = now - known.received_at > INCARNATION_TIMEOUT
        is_earlier = facts.incarnation < known.facts.incarnation
        if not same_incarnation and is_earlier and not is_silent:
            return False
        self._entries[facts.host] = _Entry(facts, now)
        return not same_incarnation

    def count_hosts(self) -> int:
        """Count the known hosts; the local one always counts."""
        return max(1, len(self._entries))

    def list_alive(
        self, now: Monotonic, *, timeout: Seconds = ALIVE_TIMEOUT
    ) -> list[HostFacts]:
        """List the newest facts of all hosts that are alive.

        Args:
            now: Current time.
            timeout: How long a host counts as alive after its last message, in
                seconds.
        """
        return [
            entry.facts
            for entry in self._entries.values()
            if now - entry.received_at <= timeout
        ]

    def list_alive_with_age(
        self, now: Monotonic
    ) -> list[tuple[HostFacts, Seconds]]:
        """List the newest facts of all hosts that are alive, with their age.

        Args:
            now: Current time.
        """
        return [
            (entry.facts, Seconds(now - entry.received_at))
            for entry in self._entries.values()
            if now - entry.received_at <= ALIVE_TIMEOUT
        ]

    def list_peers(self, now: Monotonic) -> list[HostFacts]:
        """List the facts of all known hosts except the local one.

        Hosts past the eviction timeout are removed first.

        Args:
            now: Current time.
        """
        for host in _list_expired(self._entries, now):
            if host != self.local_host:
                self._entries.pop(host)
        return [
            entry.facts
            for entry in self._entries.values()
            if entry.facts.host != self.local_host
        ]

    def list_candidates(
        self, zone: ZoneName, now: Monotonic
    ) -> list[HostFacts]:
        """List the facts of hosts in a zone that are alive and not leaving.

        Args:
            zone: Availability zone to search.
            now: Current time.
        """
        return [
            facts
            for facts in self.list_alive(now)
            if facts.zone == zone and not facts.leaving
        ]

    def find_leader(
        self,
        zone: ZoneName,
        now: Monotonic,
        *,
        excluded: HostId | None = None,
    ) -> HostFacts | None:
        """Return the leader of a zone; None if it has no candidate.

        The leader is the host with the lowest name among those that are alive
        and not leaving. Hosts to which the store does not respond are chosen
        only if there is no other.

        Args:
            zone: Availability zone to search.
            now: Current time.
            excluded: A host that is not chosen; None if any may be.
        """
        candidates = self.list_candidates(zone, now)
        return min(
            (facts for facts in candidates if facts.host != excluded),
            key=lambda facts: (facts.store_unreachable, facts.host),
            default=None,
        )

    def is_leader(self, now: Monotonic) -> bool:
        """Return whether the local host is the leader of its zone.

        It also acts as the leader if the zone has no candidate.

        Args:
            now: Current time.
        """
        leader = self.find_leader(self.local_zone, now)
        return leader is None or leader.host == self.local_host

    def list_updated(self, since: Monotonic, now: Monotonic) -> list[HostFacts]:
        """List the facts of live hosts that were received after a time.

        Args:
            since: Facts received until then are left out.
            now: Current time.
        """
        oldest = max(since, now - ALIVE_TIMEOUT)
        return [
            entry.facts
            for entry in self._entries.values()
            if entry.received_at > oldest
        ]

    def select_remote_leaders(
        self, now: Monotonic, random: Random
    ) -> list[HostFacts]:
        """Select one host to send to in each other known zone.

        This is the leader of the zone. If no host there is alive, a known
        one is chosen at random, so that contact resumes after a network
        partition.

        Args:
            now: Current time.
            random: Chooses a host in a zone without a live one.
        """
        by_zone: dict[ZoneName, list[HostFacts]] = {}
        for facts in self.list_peers(now):
            by_zone.setdefault(facts.zone, []).append(facts)
        by_zone.pop(self.local_zone, None)
        return [
            self.find_leader(zone, now) or random.choice(known)
            for zone, known in by_zone.items()
        ]


def copy_fact_table(table: HostFactTable) -> HostFactTable:
    """Return a copy, from which hosts may be evicted separately.

    Args:
        table: The table.
    """
    return attrs.evolve(table, entries=dict(table._entries))


def _list_expired(
    entries: Mapping[HostId, _Entry], now: Monotonic
) -> list[HostId]:
    """List the hosts whose silence exceeds the eviction timeout."""
    return [
        host
        for host, entry in entries.items()
        if now - entry.received_at > EVICTION_TIMEOUT
    ]
