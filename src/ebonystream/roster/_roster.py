"""The known backend servers, synchronised with the platform's store."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import (
    EpochMs,
    Monotonic,
    Seconds,
    ServerId,
    ServiceName,
)
from ebonystream.roster._entry import EntryState, ServerEntry
from ebonystream.roster._server import KnownServer

MISSING_ENTRY_GRACE = Seconds(2.3)
"""How long a server without an entry is kept after an outage of the store, in
seconds: its entry may have lapsed during the outage."""

MAX_DEPARTED = 1000


@attrs.frozen
class RosterChange:
    """The changes that one listing made.

    Attributes:
        joined: Servers that are new or were restarted.
        left: Servers that have no entry any more.
        leaving: Servers that have newly announced that they are leaving.
    """

    joined: tuple[ServerId, ...] = ()
    left: tuple[ServerId, ...] = ()
    leaving: tuple[ServerId, ...] = ()

    def has_changes(self) -> bool:
        """Return whether anything changed."""
        return bool(self.joined or self.left or self.leaving)


@attrs.define
class Roster:
    """The known backend servers.

    Attributes:
        servers: Servers by id.
        last_listed_at: When the store was last read completely, by this host or
            by a peer; None if never.
        entries: Entries of that listing, sorted by id.
        revision: Incremented at each change of the entries.
        keep_missing_until: Until when servers without an entry are kept.
        departed: Latest entries of servers that were leaving and have no entry
            any more, by id. An older listing that has them may still arrive.
    """

    servers: dict[ServerId, KnownServer] = attrs.field(factory=dict)
    last_listed_at: Monotonic | None = None
    entries: tuple[ServerEntry, ...] = ()
    revision: int = 0
    keep_missing_until: Monotonic = Monotonic(float('-inf'))
    departed: dict[ServerId, ServerEntry] = attrs.field(factory=dict)

    def record_outage(self, now: Monotonic) -> None:
        """Record that the store could not be read.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        self.keep_missing_until = Monotonic(now + MISSING_ENTRY_GRACE)

    def apply_listing(
        self,
        entries: Iterable[ServerEntry],
        now: Monotonic,
        *,
        unreadable: Iterable[ServerId] = (),
    ) -> RosterChange:
        """Apply a complete listing of the store.

        A known server whose entry is unreadable keeps its latest one. A listing
        that was read before the present one changes nothing.

        Args:
            entries: Entries of all servers.
            now: When the listing was read.
            unreadable: Ids of the servers whose entry is unreadable.
        """
        if self.last_listed_at is not None and now < self.last_listed_at:
            return RosterChange()
        kept = (
            self.servers[server_id].entry
            for server_id in unreadable
            if server_id in self.servers
        )
        self._replace_entries((*entries, *kept))
        entries_by_id = {entry.id: entry for entry in self.entries}
        joined = [
            listed_entry
            for listed_entry in entries_by_id.values()
            if self._apply_entry(listed_entry, now)
        ]
        leaving = [
            listed_entry.id
            for listed_entry in entries_by_id.values()
            if listed_entry.state is EntryState.LEAVING
            and self._mark_leaving(self.servers[listed_entry.id])
        ]
        left = self._drop_missing(entries_by_id, now)
        self.confirm_listing(now)
        return RosterChange(
            joined=tuple(listed_entry.id for listed_entry in joined),
            left=left,
            leaving=tuple(leaving),
        )

    def list_servers(self, service: ServiceName) -> list[KnownServer]:
        """List the servers of a service, usable or not.

        Args:
            service: Name of the service.
        """
        return [
            server
            for server in self.servers.values()
            if server.entry.service == service
        ]

    def mark_leaving(
        self, server_id: ServerId, started: EpochMs | None
    ) -> None:
        """Stop using a run of a server that is leaving.

        Args:
            server_id: Id of the server.
            started: Start of the run, in Unix milliseconds; None if not known.
        """
        known = self.servers.get(server_id)
        if known is not None and known.entry.started == started:
            known.leaving = True

    def confirm_listing(self, read_at: Monotonic) -> None:
        """Record when the current entries were read from the store.

        Args:
            read_at: When they were read; ignored unless it is the latest time.
        """
        if self.last_listed_at is None or read_at > self.last_listed_at:
            self.last_listed_at = read_at

    def _replace_entries(self, entries: Iterable[ServerEntry]) -> None:
        ordered = tuple(sorted(entries, key=_get_id))
        if ordered != self.entries:
            self.entries = ordered
            self.revision += 1

    def _apply_entry(self, entry: ServerEntry, now: Monotonic) -> bool:
        """Apply one entry and return whether it is a new run of a server."""
        known = self.servers.get(entry.id)
        if known is not None and known.entry.is_same_run(entry):
            if entry.cold > known.entry.cold:
                known.update_cold_entry(entry.cold, now)
            known.entry = entry
            known.last_listed_at = now
            return False
        server = KnownServer(
            entry=entry, first_listed_at=now, last_listed_at=now
        )
        server.update_cold_entry(entry.cold, now)
        departed = self.departed.pop(entry.id, None)
        server.leaving = departed is not None and departed.is_same_run(entry)
        self.servers[entry.id] = server
        return True

    def _mark_leaving(self, known: KnownServer) -> bool:
        is_new = not known.leaving
        known.leaving = True
        return is_new

    def _drop_missing(
        self, entries_by_id: Mapping[ServerId, ServerEntry], now: Monotonic
    ) -> tuple[ServerId, ...]:
        if now < self.keep_missing_until:
            return ()
        missing = [
            server_id
            for server_id in self.servers
            if server_id not in entries_by_id
        ]
        for server_id in missing:
            server = self.servers.pop(server_id)
            if server.leaving:
                self.departed[server_id] = server.entry
        while len(self.departed) > MAX_DEPARTED:
            self.departed.pop(next(iter(self.departed)))
        return tuple(missing)


def _get_id(entry: ServerEntry) -> ServerId:
    return entry.id
