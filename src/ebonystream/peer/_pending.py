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
    ForwardedCall,
    ForwardedResponse,
    PeerRequest,
    PeerResponse,
    SnapshotRequest,
    SnapshotResponse,
)

CORRELATION_BITS = 63

RESPONSE_TYPES: Mapping[type[PeerRequest], type[PeerResponse]] = (
    MappingProxyType(
        {ForwardedCall: ForwardedResponse, SnapshotRequest: SnapshotResponse}
    )
)
"""Type of the response to each type of request."""


@attrs.define
class PendingRequest:
    """One request that waits for its response.

    Attributes:
        correlation: Correlation id, repeated in the response.
        host: Peer that the request was sent to.
        request_type: Type of the request.
        response: Response; None until it arrives.
    """

    correlation: CorrelationId
    host: HostId
    request_type: type[PeerRequest]
    response: PeerResponse | None = None
    _has_response: trio.Event = attrs.field(factory=trio.Event)

    def resolve(self, sender: HostId, response: PeerResponse) -> None:
        """Set the response, which must belong to this request."""
        assert self.response is None, 'a request got two responses'
        assert sender == self.host, 'a response came from another host'
        assert response.correlation == self.correlation, (
            'a response belongs to another request'
        )
        self.response = response
        self._has_response.set()

    async def wait(self) -> None:
        """Wait for the response."""
        await self._has_response.wait()


@attrs.define
class PendingRequests:
    """All requests that wait for a response.

    Attributes:
        random: Source of correlation ids.
        by_correlation: Requests that wait, by correlation id.
    """

    random: Random
    by_correlation: dict[CorrelationId, PendingRequest] = attrs.field(
        factory=dict
    )

    @contextmanager
    def track(
        self, host: HostId, request: PeerRequest
    ) -> Iterator[PendingRequest]:
        """Accept a response to a request while the block runs."""
        pending = PendingRequest(self._draw_correlation(), host, type(request))
        self.by_correlation[pending.correlation] = pending
        try:
            yield pending
        finally:
            self.by_correlation.pop(pending.correlation, None)

    def resolve(
        self, sender: HostId, response: PeerResponse
    ) -> DropReason | None:
        """Match a response to its request.

        Args:
            sender: Host that sent the response.
            response: Response to match.

        Returns:
            Why the response has to be dropped; None if it was matched.
        """
        pending = self.by_correlation.get(response.correlation)
        if pending is None:
            return DropReason.LATE
        if not _is_match(pending, sender, response):
            return DropReason.MISMATCHED
        self.by_correlation.pop(response.correlation)
        pending.resolve(sender, response)
        return None

    def _draw_correlation(self) -> CorrelationId:
        while True:
            correlation = CorrelationId(
                self.random.getrandbits(CORRELATION_BITS)
            )
            if correlation not in self.by_correlation:
                return correlation


def _is_match(
    pending: PendingRequest, sender: HostId, response: PeerResponse
) -> bool:
    same_type = isinstance(response, RESPONSE_TYPES[pending.request_type])
    return same_type and sender == pending.host
