"""Decisions on the requests in the control stream: accepted or rejected."""

from collections.abc import Container
from itertools import islice

import attrs
import msgspec
import xxhash

from ebonystream._ids import ConfigurationVersion, RequestId
from ebonystream.errors import ErrorKind

MAX_DECISIONS = 1024
"""Number of latest decisions that are retained, so that a repeated request has
no further effect. Decisions on open moves are retained at any age."""


class Decision(msgspec.Struct, frozen=True):
    """The decision on one request; the same on each host.

    Attributes:
        request: The id of the request.
        digest: Digest of its record, to detect another record with the same id.
        accepted: Whether the record took effect.
        version: The version of the lists right after the record.
    """

    request: RequestId
    digest: str
    accepted: bool
    version: ConfigurationVersion


@attrs.frozen
class Rejection:
    """The reason for a rejection; known only on hosts that applied the record.

    Attributes:
        kind: The kind of error.
        reason: Description of the fault.
    """

    kind: ErrorKind
    reason: str


@attrs.define
class Decisions:
    """The latest decisions.

    Attributes:
        by_request: Decisions in the order of the log.
        rejections: Reasons for the rejections of records that this host
            applied itself; a snapshot or a checkpoint has no reasons.
    """

    by_request: dict[RequestId, Decision] = attrs.field(factory=dict)
    rejections: dict[RequestId, Rejection] = attrs.field(factory=dict)

    def get(self, request: RequestId) -> Decision | None:
        """Return the decision on a request; None if there is none."""
        return self.by_request.get(request)

    def record(
        self,
        decision: Decision,
        rejection: Rejection | None,
        retained: Container[str],
    ) -> None:
        """Record the decision on a request, and evict the oldest ones.

        Args:
            decision: The decision; a request is decided only once.
            rejection: The reason, if the request was rejected.
            retained: Requests whose decisions are not evicted.
        """
        request = decision.request
        assert request not in self.by_request, f'{request} was decided twice'
        self.by_request[request] = decision
        if rejection is not None:
            self.rejections[request] = rejection
        surplus = max(len(self.by_request) - MAX_DECISIONS, 0)
        evictable = (id_ for id_ in self.by_request if id_ not in retained)
        for evicted in tuple(islice(evictable, surplus)):
            self.by_request.pop(evicted)
            self.rejections.pop(evicted, None)


def compute_digest(record: msgspec.Struct) -> str:
    """Compute a digest of the content of a record.

    Args:
        record: The record.
    """
    return xxhash.xxh64_hexdigest(msgspec.json.encode(record, order='sorted'))
