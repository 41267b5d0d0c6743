"""The newest facts of each host, and who is alive."""

from random import Random

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ZoneName
from ebonystream.gossip._facts import HostFacts

ALIVE_TIMEOUT = Seconds(2.5)
"""How long after its last word a host counts as alive."""

INCARNATION_TIMEOUT = Seconds(1.2)
"""After this silence a run is believed to have ended, whatever clocks say."""

EVICTION_TIMEOUT = Seconds(60)


@attrs.frozen
class _Heard:
    facts: HostFacts
    at: Monotonic


@attrs.define
class HostFactTable:
    """What was heard of each host, this one among them.

    Attributes:
        local_host: The name of this host.
        local_zone: The availability zone of this host.
    """

    local_host: HostId
    local_zone: ZoneName
    _heard: dict[HostId, _Heard] = attrs.field(factory=dict)

    def update(self, facts: HostFacts, now: Monotonic) -> bool:
        """Take facts over unless newer ones are known.

        Args:
            facts: What a host said.
            now: When it was heard.

        Returns:
            Whether the host was not known, or runs anew.
        """
        known = self._heard.get(facts.host)
        if known is None:
            self._heard[facts.host] = _Heard(facts, now)
            return True
        same_run = known.facts.incarnation == facts.incarnation
        if same_run and facts.sequence <= known.facts.sequence:
            return False
        silent = now - known.at > INCARNATION_TIMEOUT
        earlier = facts.incarnation < known.facts.incarnation
        if not same_run and earlier and not silent:
            return False
        self._heard[facts.host] = _Heard(facts, now)
        return not same_run

    def list_alive(self, now: Monotonic) -> list[HostFacts]:
        """List the newest facts of each host that is alive.

        Args:
            now: The time.
        """
        return [
            heard.facts
            for heard in self._heard.values()
            if now - heard.at <= ALIVE_TIMEOUT
        ]

    def list_peers(self, now: Monotonic) -> list[HostFacts]:
        """List the facts of all hosts but this one that may be alive.

        Args:
            now: The time.
        """
        self._forget(now)
        return [
            heard.facts
            for heard in self._heard.values()
            if heard.facts.host != self.local_host
        ]

    def list_candidates(
        self, zone: ZoneName, now: Monotonic
    ) -> list[HostFacts]:
        """List the facts of the hosts of a zone that are alive and stay.

        Args:
            zone: The zone.
            now: The time.
        """
        return [
            facts
            for facts in self.list_alive(now)
            if facts.zone == zone and not facts.leaving
        ]

    def find_leader(self, zone: ZoneName, now: Monotonic) -> HostFacts | None:
        """Find the host that speaks for a zone; None where none is alive.

        Hosts that the store doesn't answer come last.

        Args:
            zone: The zone.
            now: The time.
        """
        return min(
            self.list_candidates(zone, now),
            key=lambda facts: (facts.store_unreachable, facts.host),
            default=None,
        )

    def is_leader(self, now: Monotonic) -> bool:
        """Tell whether this host speaks for its zone.

        Args:
            now: The time.
        """
        speaker = self.find_leader(self.local_zone, now)
        return speaker is None or speaker.host == self.local_host

    def select_remote_leaders(
        self, now: Monotonic, random: Random
    ) -> list[HostFacts]:
        """List one host to talk to in each other zone that was heard of.

        Where none is alive, any host that once was may be again.

        Args:
            now: The time.
            random: Picks that one.
        """
        by_zone: dict[ZoneName, list[HostFacts]] = {}
        for facts in self.list_peers(now):
            by_zone.setdefault(facts.zone, []).append(facts)
        by_zone.pop(self.local_zone, None)
        return [
            self.find_leader(zone, now) or random.choice(known)
            for zone, known in by_zone.items()
        ]

    def _forget(self, now: Monotonic) -> None:
        old = [
            host
            for host, heard in self._heard.items()
            if now - heard.at > EVICTION_TIMEOUT and host != self.local_host
        ]
        for host in old:
            self._heard.pop(host)
