"""The registry of slots: each slot exists once, and none is lost for good.

Each backend server has one entry host that is home to its slots. Home makes
the slots that nobody holds: at the start, and where a holder or a grant was
lost. The others tell in their heartbeats which slots they hold.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

from ebonystream._ids import (
    HostId,
    Monotonic,
    Seconds,
    ServerId,
    ServiceName,
)
from ebonystream.backend import (
    BackendServer,
    Directory,
)
from ebonystream.peer import GrantSlot, ServerLoad, SlotClaim
from ebonystream.routing._exchange import SlotExchange
from ebonystream.routing._service import LONGEST_LEASE
from ebonystream.routing._sightings import (
    Sighting,
    list_keys,
    list_servers,
)
from ebonystream.routing._slots import Slot, SlotKey

NO_HOST = HostId('')
"""Orders before each host: what is known of a slot is no claim to it."""

RETURNED = -1
"""Stands in a grant that was not asked for: the slot goes back home."""

GENERATION = 1_000_000
"""How far a slot that is made again is ahead of its lost copy."""


@attrs.define(kw_only=True)
class SlotRegistry:
    """What this host knows of slots that it is home to.

    Attributes:
        exchange: The slots of this host.
        directory: The servers that are known.
        slots: How many calls each server works on at a time.
        overlap: How many more may wait there.
        find_home: Gives the host that is home to a server.
        get_confirmed: Gives when the newest heartbeat was sent that the home
            of a server has confirmed to this host.
        get_silence: Gives how long a slot must be unheard of before it is
            made again, in seconds.
        is_leaving: Tells whether this host is stopping.
        sightings: The newest sighting of each slot.
        made: Slots made so far.
        dropped: Slots dropped because another host holds them too.
    """

    exchange: SlotExchange
    directory: Directory
    slots: int
    overlap: int
    find_home: Callable[[ServerId], HostId | None]
    get_confirmed: Callable[[ServerId], Monotonic]
    get_silence: Callable[[], Seconds]
    is_leaving: Callable[[], bool]
    sightings: dict[SlotKey, Sighting] = attrs.field(factory=dict)
    made: int = 0
    dropped: int = 0

    def check(self) -> None:
        """Make what is missing and drop what is out of date."""
        for service in list(self.exchange.by_service):
            self._drop_unlisted(service)
            self._renew(service)
        for server in self.directory.servers.values():
            if _is_home(self, server.id):
                self._make_missing(server)
            else:
                for key in list_keys(server, self.slots + self.overlap):
                    self.sightings.pop(key, None)

    def report(self) -> tuple[ServerLoad, ...]:
        """Give the slots that this host holds or is home to, to all peers."""
        claims: dict[ServerId, list[SlotClaim]] = defaultdict(list)
        for service in self.exchange.by_service.values():
            for slot in service.held.slots.values():
                claim = SlotClaim(slot.number, slot.sequence)
                claims[slot.server.id].append(claim)
        known: dict[ServerId, list[SlotClaim]] = defaultdict(list)
        for key, sighting in self.sightings.items():
            if _is_home(self, key[0]):
                known[key[0]].append(SlotClaim(key[1], sighting.sequence))
        return tuple(
            ServerLoad(
                server=server.id,
                in_flight=server.in_flight,
                held=tuple(claims[server.id]),
                known=tuple(known[server.id]),
            )
            for server in list_servers(
                self.directory, claims.keys() | known.keys()
            )
        )

    def take_return(self, grant: GrantSlot) -> None:
        """Take a slot back that another host has no use for.

        A late or doubled one is told by its sequence, for what this host
        made since is newer.
        """
        server = self.directory.servers.get(grant.server)
        if server is None or not _is_home(self, grant.server):
            return
        now = self.exchange.timers.now()
        slot = Slot(
            server=server,
            number=grant.number,
            sequence=grant.sequence,
            overlap=grant.overlap,
            since=now,
            until=Monotonic(now + LONGEST_LEASE),
        )
        self.exchange.get_service(server.service).held.add(slot)
        self.exchange.settle(server.service)

    def take_report(self, host: HostId, loads: Iterable[ServerLoad]) -> None:
        """Take what a peer holds.

        Args:
            host: The peer.
            loads: What its heartbeat says.
        """
        now = self.exchange.timers.now()
        for load in loads:
            for claim in load.held:
                key = (load.server, claim.number)
                self._see(key, claim.sequence, now)
                _yield_to(self, key, (claim.sequence, host))
            for claim in load.known:
                key = (load.server, claim.number)
                _yield_to(self, key, (claim.sequence, NO_HOST))

    def _see(self, key: SlotKey, sequence: int, now: Monotonic) -> None:
        sighting = self.sightings.setdefault(key, Sighting(now))
        sighting.at = now
        sighting.sequence = max(sighting.sequence, sequence)

    def _make_missing(self, server: BackendServer) -> None:
        now = self.exchange.timers.now()
        held = self.exchange.get_service(server.service).held
        for key in list_keys(server, self.slots + self.overlap):
            slot = held.slots.get(key)
            if slot is not None:
                slot.until = Monotonic(now + LONGEST_LEASE)
                self._see(key, slot.sequence, now)
                continue
            sighting = self.sightings.setdefault(key, Sighting(now))
            if now - sighting.at >= self.get_silence():
                self._make(server, key, sighting)

    def _make(
        self, server: BackendServer, key: SlotKey, sighting: Sighting
    ) -> None:
        self.made += 1
        held = self.exchange.get_service(server.service).held
        newest = max(sighting.sequence, held.newest.get(key, 0))
        sighting.sequence = newest + GENERATION
        now = self.exchange.timers.now()
        sighting.at = now
        slot = Slot(
            server=server,
            number=key[1],
            overlap=key[1] >= self.slots,
            sequence=sighting.sequence,
            since=now,
            until=Monotonic(now + LONGEST_LEASE),
        )
        held.add(slot)
        self.exchange.settle(server.service)

    def _renew(self, service: ServiceName) -> None:
        held = self.exchange.by_service[service].held
        for slot in held.slots.values():
            confirmed = self.get_confirmed(slot.server.id)
            if confirmed >= slot.since:
                renewed = Monotonic(confirmed + LONGEST_LEASE)
                slot.until = max(slot.until, renewed)

    def _drop_unlisted(self, service: ServiceName) -> None:
        held = self.exchange.by_service[service].held
        for slot in list(held.slots.values()):
            listed = self.directory.servers.get(slot.server.id)
            if listed is not slot.server:
                held.remove(slot)
            elif not slot.busy and _is_useless(self, listed):
                self._return(service, slot)

    def _return(self, service: ServiceName, slot: Slot) -> None:
        home = self.find_home(slot.server.id)
        if home in {None, self.exchange.me.host}:
            return
        grant = self.exchange.by_service[service].hand_over(
            slot, Seconds(0), asked_ms=RETURNED
        )
        self.exchange.send(home, grant)


def _is_useless(registry: SlotRegistry, server: BackendServer) -> bool:
    """Tell whether this host should hand a server's free slots to its home.

    Only its home sends to a server that starts; and slots that a stopping
    host kept would be missing until they are made again.
    """
    return server.warmth.is_starting or registry.is_leaving()


def _is_home(registry: SlotRegistry, server: ServerId) -> bool:
    return registry.find_home(server) == registry.exchange.me.host


def _yield_to(
    registry: SlotRegistry, key: SlotKey, claim: tuple[int, HostId]
) -> None:
    server = registry.directory.servers.get(key[0])
    if server is None:
        return
    held = registry.exchange.get_service(server.service).held
    slot = held.slots.get(key)
    held.learn(key, claim[0])
    if slot is None:
        return
    if claim > (slot.sequence, registry.exchange.me.host):
        held.remove(slot)
        registry.dropped += 1
