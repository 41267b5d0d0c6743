"""What the records of the control stream come to, without their offsets."""

import attrs

from ebonystream._ids import MoveId, RequestId
from ebonystream.configuration._decisions import (
    Decision,
    Decisions,
    Rejection,
    digest_record,
)
from ebonystream.configuration._published import Published
from ebonystream.configuration._records import Asked, Publish
from ebonystream.errors import EbonystreamError
from ebonystream.move import LogPosition, Moves


@attrs.define
class Folded:
    """The lists, the moves, and what became of each request.

    Attributes:
        published: The lists in force.
        moves: The moves.
        decisions: What became of the latest requests.
    """

    published: Published = attrs.field(factory=Published)
    moves: Moves = attrs.field(factory=Moves)
    decisions: Decisions = attrs.field(factory=Decisions)

    def take(self, record: Asked, place: LogPosition) -> None:
        """Take one record; a request that is repeated changes nothing.

        Args:
            record: What is asked.
            place: Where the log has it.
        """
        if self.is_decided(record.request):
            return
        before = self.published.version
        rejection = self._try(record, place)
        assert self.published.version >= before, 'the version fell'
        decision = Decision(
            request=record.request,
            digest=digest_record(record),
            accepted=rejection is None,
            version=self.published.version,
        )
        self.decisions.record(
            decision, rejection, self.moves.table.list_open_ids()
        )

    def is_decided(self, request: RequestId) -> bool:
        """Tell whether a request came before."""
        known = self.decisions.find(request) is not None
        return known or MoveId(request) in self.moves.table.by_id

    def _try(self, record: Asked, place: LogPosition) -> Rejection | None:
        try:
            self._apply(record, place)
        except EbonystreamError as error:
            return Rejection(error.kind, error.detail)
        return None

    def _apply(self, record: Asked, place: LogPosition) -> None:
        if isinstance(record, Publish):
            self.published.publish(record)
        else:
            self.moves.apply(record, place)
