"""Where services stand, and which versions were taken back."""

import attrs

from ebonystream._ids import ServiceName, VersionName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import SettledVersion, VersionMove
from ebonystream.move._place import RecordPlace
from ebonystream.move._records import AskVersionMove, VerdictKind


@attrs.define
class Versions:
    """The versions that operators moved between.

    Attributes:
        settled: The version that each service's traffic stands at.
        taken_back: Versions that may never return.
    """

    settled: dict[ServiceName, VersionName] = attrs.field(factory=dict)
    taken_back: set[SettledVersion] = attrs.field(factory=set)

    def check(self, asked: AskVersionMove, place: RecordPlace) -> None:
        """Refuse a move that can't be made.

        Raises:
            EbonystreamError: The versions are the same, the new one was taken
                back before, the old one has no traffic, or it is too late.
        """
        reason = self._find_fault(asked, place)
        if reason is not None:
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def begin(self, move: VersionMove) -> None:
        """Note where the service stands while it moves."""
        self.settled[move.service] = move.from_version

    def end(self, move: VersionMove, kind: VerdictKind) -> None:
        """Note where the service stands after it moved."""
        target = SettledVersion(move.service, move.to_version)
        if kind is VerdictKind.FINISHED:
            self.settled[move.service] = move.to_version
        else:
            self.taken_back.add(target)

    def is_taken_back(self, service: ServiceName, version: VersionName) -> bool:
        """Tell whether a version of a service may never return."""
        return SettledVersion(service, version) in self.taken_back

    def list_taken_back(self, service: ServiceName) -> tuple[VersionName, ...]:
        """Give the versions of a service that may never return."""
        every = (one for one in self.taken_back if one.service == service)
        return tuple(sorted(one.version for one in every))

    def _find_fault(
        self, asked: AskVersionMove, place: RecordPlace
    ) -> str | None:
        service = asked.service
        stands_at = self.settled.get(service, asked.from_version)
        if asked.from_version == asked.to_version:
            return f'{service} is to move from {asked.to_version} to itself'
        if self.is_taken_back(service, asked.to_version):
            return f'{service} {asked.to_version} was taken back for good'
        if stands_at != asked.from_version:
            return f'{service} stands at {stands_at}, not {asked.from_version}'
        if asked.finish_by_ms <= place.at:
            return f'finish_by_ms {asked.finish_by_ms} is past at {place.at}'
        return None
