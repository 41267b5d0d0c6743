"""The state that the records of the control stream fold into."""

import attrs

from ebonystream._ids import MoveId, RequestId
from ebonystream.configuration._decisions import (
    Decision,
    Decisions,
    Rejection,
    compute_digest,
)
from ebonystream.configuration._published import PublishedLists
from ebonystream.configuration._records import Publish, RequestRecord
from ebonystream.errors import EbonystreamError
from ebonystream.move import LogPosition, Moves


@attrs.define
class FoldedState:
    """The lists, the moves and the decisions on requests.

    Attributes:
        published: The lists in force.
        moves: The moves.
        decisions: The decisions on the latest requests.
    """

    published: PublishedLists = attrs.field(factory=PublishedLists)
    moves: Moves = attrs.field(factory=Moves)
    decisions: Decisions = attrs.field(factory=Decisions)

    def apply(self, record: RequestRecord, position: LogPosition) -> None:
        """Apply a record and record the decision on its request.

        A repeated request has no effect.

        Args:
            record: The record.
            position: Its position in the log.
        """
        if self.is_decided(record.request):
            return
        version_before = self.published.version
        rejection = self._try_apply(record, position)
        assert self.published.version >= version_before, (
            'the version of the lists decreased'
        )
        decision = Decision(
            request=record.request,
            digest=compute_digest(record),
            accepted=rejection is None,
            version=self.published.version,
        )
        self.decisions.record(
            decision, rejection, self.moves.table.list_open_ids()
        )

    def is_decided(self, request: RequestId) -> bool:
        """Return whether there has been a decision on a request."""
        has_decision = self.decisions.get(request) is not None
        return has_decision or MoveId(request) in self.moves.table.by_id

    def _try_apply(
        self, record: RequestRecord, position: LogPosition
    ) -> Rejection | None:
        try:
            self._apply_or_raise(record, position)
        except EbonystreamError as error:
            return Rejection(error.kind, error.detail)
        return None

    def _apply_or_raise(
        self, record: RequestRecord, position: LogPosition
    ) -> None:
        if isinstance(record, Publish):
            self.published.publish(record)
        else:
            self.moves.apply(record, position)
