"""Requests that wait for the answers of peers."""

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
"""The kind of answer to each kind of request."""


@attrs.define
class Question:
    """One request that waits for its answer.

    Attributes:
        correlation: Pairs the answer with it.
        host: The peer that was asked.
        kind: The kind of request.
        answer: The answer, once it came.
    """

    correlation: CorrelationId
    host: HostId
    kind: type[PeerRequest]
    answer: PeerAnswer | None = None
    _answered: trio.Event = attrs.field(factory=trio.Event)

    def settle(self, sender: HostId, answer: PeerAnswer) -> None:
        """Take the answer, which must be this request's own."""
        assert self.answer is None, 'a request was answered twice'
        assert sender == self.host, 'another host answered a request'
        assert answer.correlation == self.correlation, 'an answer was crossed'
        self.answer = answer
        self._answered.set()

    async def wait(self) -> None:
        """Wait for the answer."""
        await self._answered.wait()


@attrs.define
class Questions:
    """Every request that waits.

    Attributes:
        random: Draws correlation ids.
        waiting: The requests that wait, by correlation.
    """

    random: Random
    waiting: dict[CorrelationId, Question] = attrs.field(factory=dict)

    @contextmanager
    def open(self, host: HostId, request: PeerRequest) -> Iterator[Question]:
        """Make a request wait for its answer while the block runs."""
        question = Question(self._draw(), host, type(request))
        self.waiting[question.correlation] = question
        try:
            yield question
        finally:
            self.waiting.pop(question.correlation, None)

    def settle(self, sender: HostId, answer: PeerAnswer) -> DropReason | None:
        """Give an answer to its request, or tell why it has to be dropped.

        Args:
            sender: The host that sent the answer.
            answer: The answer.
        """
        question = self.waiting.get(answer.correlation)
        if question is None:
            return DropReason.LATE
        if not _belongs(question, sender, answer):
            return DropReason.CROSSED
        self.waiting.pop(answer.correlation)
        question.settle(sender, answer)
        return None

    def _draw(self) -> CorrelationId:
        while True:
            drawn = CorrelationId(self.random.getrandbits(CORRELATION_BITS))
            if drawn not in self.waiting:
                return drawn


def _belongs(question: Question, sender: HostId, answer: PeerAnswer) -> bool:
    same_kind = isinstance(answer, ANSWER_TYPES[question.kind])
    return same_kind and sender == question.host
