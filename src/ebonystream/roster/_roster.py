"""All backend servers that are known, kept in step with the store."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream.roster._entry import EntryState, ServerEntry
from ebonystream.roster._server import KnownServer

MISSING_ENTRY_GRACE = Seconds(2.3)
"""How long after an outage of the store a missing entry is waited for."""


@attrs.frozen
class RosterChange:
    """What one listing changed.

    Attributes:
        joined: Servers that are new, or started anew.
        left: Servers that are gone.
        leaving: Servers that say since now that they leave.
    """

    joined: tuple[ServerId, ...] = ()
    left: tuple[ServerId, ...] = ()
    leaving: tuple[ServerId, ...] = ()

    def has_changes(self) -> bool:
        """Tell whether anything changed."""
        return bool(self.joined or self.left or self.leaving)


@attrs.define
class Roster:
    """The known backend servers.

    Attributes:
        servers: Each server by its name.
        last_listed_at: When the store was last read whole, here or at a peer.
        entries: The entries of that reading, in the order of their names.
        revision: Counts the changes of the entries.
        keep_missing_until: Until when missing entries count as lapsed, not gone.
    """

    servers: dict[ServerId, KnownServer] = attrs.field(factory=dict)
    last_listed_at: Monotonic | None = None
    entries: tuple[ServerEntry, ...] = ()
    revision: int = 0
    keep_missing_until: Monotonic = Monotonic(float('-inf'))

    def record_outage(self, now: Monotonic) -> None:
        """Note that the store could not be read.

        Args:
            now: The time.
        """
        self.keep_missing_until = Monotonic(now + MISSING_ENTRY_GRACE)

    def apply_listing(
        self, entries: Iterable[ServerEntry], now: Monotonic
    ) -> RosterChange:
        """Take over a whole listing.

        Args:
            entries: All entries that name a server.
            now: When they were read.
        """
        self._keep(entries)
        seen = {entry.id: entry for entry in self.entries}
        joined = [one for one in seen.values() if self._take_one(one, now)]
        leaving = [
            one.id
            for one in seen.values()
            if one.state is EntryState.LEAVING
            and self._mark_leaving(self.servers[one.id])
        ]
        left = self._drop_missing(seen, now)
        self.confirm_listing(now)
        return RosterChange(
            joined=tuple(one.id for one in joined),
            left=left,
            leaving=tuple(leaving),
        )

    def list_servers(self, service: ServiceName) -> list[KnownServer]:
        """List the servers of a service, usable or not.

        Args:
            service: The service.
        """
        return [
            server
            for server in self.servers.values()
            if server.entry.service == service
        ]

    def mark_replaced(self, name: ServerId) -> None:
        """Drop a server whose address answers for another one.

        Args:
            name: The server.
        """
        known = self.servers.get(name)
        if known is not None:
            known.leaving = True

    def confirm_listing(self, read: Monotonic) -> None:
        """Note that a reading brought the same entries.

        Args:
            read: When it was made.
        """
        if self.last_listed_at is None or read > self.last_listed_at:
            self.last_listed_at = read

    def _keep(self, entries: Iterable[ServerEntry]) -> None:
        kept = tuple(sorted(entries, key=_get_name))
        if kept != self.entries:
            self.entries = kept
            self.revision += 1

    def _take_one(self, entry: ServerEntry, now: Monotonic) -> bool:
        """Take one entry over; tell whether it is a new run of a server."""
        known = self.servers.get(entry.id)
        if known is not None and _is_same_run(known.entry, entry):
            known.entry = entry
            known.last_listed_at = now
            return False
        server = KnownServer(
            entry=entry, first_listed_at=now, last_listed_at=now
        )
        if entry.cold > 0:
            server.update_cold_until(entry.cold, now)
        self.servers[entry.id] = server
        return True

    def _mark_leaving(self, known: KnownServer) -> bool:
        first = not known.leaving
        known.leaving = True
        return first

    def _drop_missing(
        self, seen: Mapping[ServerId, ServerEntry], now: Monotonic
    ) -> tuple[ServerId, ...]:
        if now < self.keep_missing_until:
            return ()
        missing = [name for name in self.servers if name not in seen]
        for name in missing:
            self.servers.pop(name)
        return tuple(missing)


def _is_same_run(old: ServerEntry, new: ServerEntry) -> bool:
    return old.started == new.started and old.at == new.at


def _get_name(entry: ServerEntry) -> ServerId:
    return entry.id
