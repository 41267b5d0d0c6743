"""Requests that wait for the responses of peers."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from random import Random
from types import MappingProxyType

import attrs
import trio

from ebonystream._ids import CorrelationId, HostId
from ebonystream.peer._drop import DropReason
from ebonystream.peer._messages import (
    FetchSnapshot,
    ForwardAnswer,
    ForwardCall,
    PeerAnswer,
    PeerRequest,
    Snapshot,
)

CORRELATION_BITS = 63

ANSWER_TYPES: Mapping[type[PeerRequest], type[PeerAnswer]] = MappingProxyType(
    {ForwardCall: ForwardAnswer, FetchSnapshot: Snapshot}
)
"""Type of the response to each type of request."""


@attrs.define
class Question:
    """One request that waits for its response.

    Attributes:
        correlation: Correlation id, repeated in the response.
        host: Peer that the request was sent to.
        kind: Type of the request.
        answer: Response; None until it arrives.
    """

    correlation: CorrelationId
    host: HostId
    kind: type[PeerRequest]
    answer: PeerAnswer | None = None
    _answered: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, sender: HostId, answer: PeerAnswer) -> None:
        """Set the response, which must belong to this request."""
        assert self.answer is None, 'a request got two responses'
        assert sender == self.host, 'a response came from another host'
        assert answer.correlation == self.correlation, (
            'a response belongs to another request'
        )
        self.answer = answer
        self._answered.set()

    async def wait(self) -> None:
        """Wait for the response."""
        await self._answered.wait()


@attrs.define
class Questions:
    """All requests that wait for a response.

    Attributes:
        random: Source of correlation ids.
        waiting: Requests that wait, by correlation id.
    """

    random: Random
    waiting: dict[CorrelationId, Question] = attrs.field(factory=dict)

    @contextmanager
    def open(self, host: HostId, request: PeerRequest) -> Iterator[Question]:
        """Accept a response to a request while the block runs."""
        question = Question(self._draw_correlation(), host, type(request))
        self.waiting[question.correlation] = question
        try:
            yield question
        finally:
            self.waiting.pop(question.correlation, None)

    def settle(self, sender: HostId, answer: PeerAnswer) -> DropReason | None:
        """Match a response to its request.

        Args:
            sender: Host that sent the response.
            answer: Response to match.

        Returns:
            Why the response has to be dropped; None if it was matched.
        """
        question = self.waiting.get(answer.correlation)
        if question is None:
            return DropReason.LATE
        if not _is_match(question, sender, answer):
            return DropReason.CROSSED
        self.waiting.pop(answer.correlation)
        question.settle(sender, answer)
        return None

    def _draw_correlation(self) -> CorrelationId:
        while True:
            correlation = CorrelationId(
                self.random.getrandbits(CORRELATION_BITS)
            )
            if correlation not in self.waiting:
                return correlation


def _is_match(question: Question, sender: HostId, answer: PeerAnswer) -> bool:
    same_type = isinstance(answer, ANSWER_TYPES[question.kind])
    return same_type and sender == question.host
