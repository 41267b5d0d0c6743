"""What became of each record that someone asked the control stream to take."""

from collections.abc import Container
from itertools import islice

import attrs
import msgspec
import xxhash

from ebonystream._ids import ConfigurationVersion, RequestId
from ebonystream.errors import ErrorKind

DECISIONS_KEPT = 1024
"""How many requests can be repeated without harm: the latest ones, and those
of open moves."""


class Decision(msgspec.Struct, frozen=True):
    """What became of one request; the same on each host.

    Attributes:
        request: The request.
        digest: What was asked, so that its name is not used for another.
        accepted: Whether it took effect.
        version: The version of the lists right after it.
    """

    request: RequestId
    digest: str
    accepted: bool
    version: ConfigurationVersion


@attrs.frozen
class Rejection:
    """Why a request was rejected; only hosts that folded it know.

    Attributes:
        kind: The kind of error.
        reason: What was wrong.
    """

    kind: ErrorKind
    reason: str


@attrs.define
class Decisions:
    """The latest decisions.

    Attributes:
        by_request: Decisions in the order of the log.
        rejections: Reasons, where this host folded the record itself.
    """

    by_request: dict[RequestId, Decision] = attrs.field(factory=dict)
    rejections: dict[RequestId, Rejection] = attrs.field(factory=dict)

    def find(self, request: RequestId) -> Decision | None:
        """Give what became of a request, if it is known."""
        return self.by_request.get(request)

    def record(
        self,
        decision: Decision,
        rejection: Rejection | None,
        needed: Container[str],
    ) -> None:
        """Note what became of a request; the first decision stands.

        Args:
            decision: What became of it.
            rejection: Why it was rejected, if it was.
            needed: Requests that are kept however old they are.
        """
        request = decision.request
        assert request not in self.by_request, f'{request} was decided twice'
        self.by_request[request] = decision
        if rejection is not None:
            self.rejections[request] = rejection
        surplus = max(len(self.by_request) - DECISIONS_KEPT, 0)
        old = (one for one in self.by_request if one not in needed)
        for forgotten in tuple(islice(old, surplus)):
            self.by_request.pop(forgotten)
            self.rejections.pop(forgotten, None)


def digest_record(record: msgspec.Struct) -> str:
    """Work out a short name for what a record asks.

    Args:
        record: The record.
    """
    return xxhash.xxh64_hexdigest(msgspec.json.encode(record, order='sorted'))
