"""Registry of slots: each slot has one holder, and lost slots are recreated.

The slots of each backend server have one home: the entry host that creates
those that no host holds, at first and after a holder or a grant was lost. All
hosts report in their heartbeats which slots they hold.
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
from ebonystream.peer import ServerLoad, SlotClaim, SlotGrant
from ebonystream.routing._exchange import SlotExchange
from ebonystream.routing._last_seen import (
    LastSeen,
    list_known_servers,
    list_slot_keys,
)
from ebonystream.routing._service import MAX_LEASE
from ebonystream.routing._slots import Slot, SlotKey

NO_HOLDER = HostId('')
"""Holder in a claim of the home, which knows of the slot but does not hold it.

Of two claims with the same sequence, that of the greater holder wins, and each
host id is greater than this one.
"""

RETURN_MARKER = -1
"""Value of `asked_ms` in a grant without a request: the slot is returned to its
home."""

RECREATION_STEP = 1_000_000
"""Added to the newest known sequence of a slot when it is recreated.

The recreated slot thereby supersedes its lost copy, however often that has
changed hands.
"""


@attrs.define(kw_only=True)
class SlotRegistry:
    """The slots that this host is the home of.

    Attributes:
        exchange: The slots that this host holds.
        directory: The known servers.
        slots_per_server: Number of calls that each server processes at a time.
        overlap_per_server: Number of calls that may queue at each server in
            addition.
        find_home: Returns the home of a server's slots; None if there is none.
        get_confirmed_at: Returns when this host sent the newest heartbeat that
            the home of a server has acknowledged.
        get_recreation_delay: Returns the time without a report of a slot after
            which it is recreated, in seconds.
        is_leaving: Returns whether this host is stopping.
        last_seen: When each slot was last reported as held.
        created_count: Number of slots created so far.
        duplicates_dropped: Number of slots dropped so far because another host
            holds them too.
    """

    exchange: SlotExchange
    directory: Directory
    slots_per_server: int
    overlap_per_server: int
    find_home: Callable[[ServerId], HostId | None]
    get_confirmed_at: Callable[[ServerId], Monotonic]
    get_recreation_delay: Callable[[], Seconds]
    is_leaving: Callable[[], bool]
    last_seen: dict[SlotKey, LastSeen] = attrs.field(factory=dict)
    created_count: int = 0
    duplicates_dropped: int = 0

    def reconcile(self) -> None:
        """Renew leases, discard unusable slots and create missing ones."""
        for service in list(self.exchange.by_service):
            self._discard_unusable(service)
            self._renew_leases(service)
        for server in self.directory.servers.values():
            if _is_home(self, server.id):
                self._create_missing(server)
            else:
                for key in list_slot_keys(
                    server, self.slots_per_server + self.overlap_per_server
                ):
                    self.last_seen.pop(key, None)

    def report_slots(self) -> tuple[ServerLoad, ...]:
        """Return the slots that this host holds or is the home of."""
        claims: dict[ServerId, list[SlotClaim]] = defaultdict(list)
        for service in self.exchange.by_service.values():
            for slot in service.held.slots.values():
                claim = SlotClaim(slot.number, slot.sequence)
                claims[slot.server.id].append(claim)
        known: dict[ServerId, list[SlotClaim]] = defaultdict(list)
        for key, last_seen in self.last_seen.items():
            if _is_home(self, key[0]):
                known[key[0]].append(SlotClaim(key[1], last_seen.sequence))
        return tuple(
            ServerLoad(
                server=server.id,
                in_flight=server.in_flight,
                held_slots=tuple(claims[server.id]),
                known_slots=tuple(known[server.id]),
            )
            for server in list_known_servers(
                self.directory, claims.keys() | known.keys()
            )
        )

    def handle_return(self, grant: SlotGrant) -> None:
        """Take back a slot that another host has returned.

        A late or duplicated message is dropped by its sequence, as that of a
        slot recreated since is higher.
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
            received_at=now,
            lease_end=Monotonic(now + MAX_LEASE),
        )
        self.exchange.get_service_slots(server.service).held.add(slot)
        self.exchange.assign_slots(server.service)

    def handle_report(self, host: HostId, loads: Iterable[ServerLoad]) -> None:
        """Record which slots a peer reports.

        Args:
            host: The peer.
            loads: The server loads from its heartbeat.
        """
        now = self.exchange.timers.now()
        for load in loads:
            for claim in load.held_slots:
                key = (load.server, claim.number)
                self._record_seen(key, claim.sequence, now)
                _resolve_claim(self, key, (claim.sequence, host))
            for claim in load.known_slots:
                key = (load.server, claim.number)
                _resolve_claim(self, key, (claim.sequence, NO_HOLDER))

    def _record_seen(self, key: SlotKey, sequence: int, now: Monotonic) -> None:
        last_seen = self.last_seen.setdefault(key, LastSeen(now))
        last_seen.seen_at = now
        last_seen.sequence = max(last_seen.sequence, sequence)

    def _create_missing(self, server: BackendServer) -> None:
        now = self.exchange.timers.now()
        held = self.exchange.get_service_slots(server.service).held
        for key in list_slot_keys(
            server, self.slots_per_server + self.overlap_per_server
        ):
            slot = held.slots.get(key)
            if slot is not None:
                slot.lease_end = Monotonic(now + MAX_LEASE)
                self._record_seen(key, slot.sequence, now)
                continue
            last_seen = self.last_seen.setdefault(key, LastSeen(now))
            if now - last_seen.seen_at >= self.get_recreation_delay():
                self._create(server, key, last_seen)

    def _create(
        self, server: BackendServer, key: SlotKey, last_seen: LastSeen
    ) -> None:
        self.created_count += 1
        held = self.exchange.get_service_slots(server.service).held
        newest = max(last_seen.sequence, held.newest_sequences.get(key, 0))
        last_seen.sequence = newest + RECREATION_STEP
        now = self.exchange.timers.now()
        last_seen.seen_at = now
        slot = Slot(
            server=server,
            number=key[1],
            overlap=key[1] >= self.slots_per_server,
            sequence=last_seen.sequence,
            received_at=now,
            lease_end=Monotonic(now + MAX_LEASE),
        )
        held.add(slot)
        self.exchange.assign_slots(server.service)

    def _renew_leases(self, service: ServiceName) -> None:
        held = self.exchange.by_service[service].held
        for slot in held.slots.values():
            confirmed_at = self.get_confirmed_at(slot.server.id)
            if confirmed_at >= slot.received_at:
                lease_end = Monotonic(confirmed_at + MAX_LEASE)
                slot.lease_end = max(slot.lease_end, lease_end)

    def _discard_unusable(self, service: ServiceName) -> None:
        held = self.exchange.by_service[service].held
        for slot in list(held.slots.values()):
            known_server = self.directory.servers.get(slot.server.id)
            if known_server is not slot.server:
                held.remove(slot)
            elif not slot.busy and _should_return(self, known_server):
                self._return_to_home(service, slot)

    def _return_to_home(self, service: ServiceName, slot: Slot) -> None:
        home = self.find_home(slot.server.id)
        if home in {None, self.exchange.local_host.host}:
            return
        grant = self.exchange.by_service[service].transfer(
            slot, Seconds(0), asked_ms=RETURN_MARKER
        )
        self.exchange.send(home, grant)


def _should_return(registry: SlotRegistry, server: BackendServer) -> bool:
    """Return whether this host should return a server's free slots.

    Only the home of a starting server sends calls to it, and slots that a
    stopping host kept would be missing until they are recreated.
    """
    return server.lifecycle.is_starting or registry.is_leaving()


def _is_home(registry: SlotRegistry, server: ServerId) -> bool:
    return registry.find_home(server) == registry.exchange.local_host.host


def _resolve_claim(
    registry: SlotRegistry, key: SlotKey, claim: tuple[int, HostId]
) -> None:
    """Drop this host's copy of a slot if the claim supersedes it.

    Args:
        registry: The registry of this host.
        key: The slot.
        claim: Sequence and holder; the greater pair prevails.
    """
    server = registry.directory.servers.get(key[0])
    if server is None:
        return
    held = registry.exchange.get_service_slots(server.service).held
    slot = held.slots.get(key)
    held.record_sequence(key, claim[0])
    if slot is None:
        return
    if claim > (slot.sequence, registry.exchange.local_host.host):
        held.remove(slot)
        registry.duplicates_dropped += 1
