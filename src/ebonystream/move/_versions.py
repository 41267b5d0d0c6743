"""The settled version of each service, and versions that were rolled back."""

import attrs

from ebonystream._ids import ServiceName, VersionName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import SettledVersion, VersionMove
from ebonystream.move._position import LogPosition
from ebonystream.move._records import RequestVersionMove, VerdictKind


@attrs.define
class Versions:
    """Versions of the services that operators have moved.

    Attributes:
        settled: The settled version of each service, which has its calls when
            no move is open; during a move, the old version.
        rolled_back: Versions that were rolled back and may never receive calls
            again.
    """

    settled: dict[ServiceName, VersionName] = attrs.field(factory=dict)
    rolled_back: set[SettledVersion] = attrs.field(factory=set)

    def check_move(
        self, record: RequestVersionMove, position: LogPosition
    ) -> None:
        """Reject a request for an invalid move.

        Raises:
            EbonystreamError: The versions are the same, the new version was
                rolled back before, the old version is not the settled one, or
                the time limit has passed.
        """
        reason = self._find_rejection_reason(record, position)
        if reason is not None:
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def record_start(self, move: VersionMove) -> None:
        """Record the settled version of a service at the start of a move."""
        self.settled[move.service] = move.from_version

    def record_end(self, move: VersionMove, kind: VerdictKind) -> None:
        """Record the result of a move: settled, or rolled back."""
        target = SettledVersion(move.service, move.to_version)
        if kind is VerdictKind.FINISHED:
            self.settled[move.service] = move.to_version
        else:
            self.rolled_back.add(target)

    def is_rolled_back(
        self, service: ServiceName, version: VersionName
    ) -> bool:
        """Return whether a version of a service was rolled back."""
        return SettledVersion(service, version) in self.rolled_back

    def list_rolled_back(self, service: ServiceName) -> tuple[VersionName, ...]:
        """List the versions of a service that were rolled back."""
        matching = (
            item for item in self.rolled_back if item.service == service
        )
        return tuple(sorted(item.version for item in matching))

    def _find_rejection_reason(
        self, record: RequestVersionMove, position: LogPosition
    ) -> str | None:
        service = record.service
        settled = self.settled.get(service, record.from_version)
        if record.from_version == record.to_version:
            return f'{service} is to move from {record.to_version} to itself'
        if self.is_rolled_back(service, record.to_version):
            return f'{service} {record.to_version} was taken back for good'
        if settled != record.from_version:
            return f'{service} stands at {settled}, not {record.from_version}'
        if record.finish_by_ms <= position.at_ms:
            return (
                f'finish_by_ms {record.finish_by_ms} is past at '
                f'{position.at_ms}'
            )
        return None
