"""Counts of requests by window and workspace, and their collection."""

from ebonystream.usage._clock import WindowClock, compute_clock_error
from ebonystream.usage._collected import CollectedCounts
from ebonystream.usage._counted import HostCounts, Untold
from ebonystream.usage._counted_requests import CountedRequests
from ebonystream.usage._messages import (
    CountsMessage,
    CountsReply,
    WindowCounts,
)
from ebonystream.usage._schedule import UsageSchedule

__all__ = (
    'CollectedCounts',
    'CountedRequests',
    'CountsMessage',
    'CountsReply',
    'HostCounts',
    'Untold',
    'UsageSchedule',
    'WindowClock',
    'WindowCounts',
    'compute_clock_error',
)
