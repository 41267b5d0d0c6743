"""Placement: selects the backend server for a request, or none."""

from ebonystream.placement._cold_requests import (
    ColdLimits,
    compute_cold_requests,
    list_own_cold_requests,
)
from ebonystream.placement._cold_shares import COLD_WINDOW, ColdShares
from ebonystream.placement._context import FindServer, MayReceive, SearchContext
from ebonystream.placement._estimate import ProcessingTimes
from ebonystream.placement._idle import FindIdleServer, make_find_idle_server
from ebonystream.placement._probe import Probe, make_probe
from ebonystream.placement._probe_budget import ProbeBudget, ProbePurpose
from ebonystream.placement._probe_share import compute_probe_share
from ebonystream.placement._probing import list_usable_servers
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reservation import RankDemand
from ebonystream.placement._reservations import PeerDemand, Reservations
from ebonystream.placement._reserve_check import get_reserve
from ebonystream.placement._results import (
    Candidate,
    NoCapacity,
    ProbeResult,
    Reserve,
    ReserveDecision,
)
from ebonystream.placement._search import make_find_server
from ebonystream.placement._selection import SelectionCriteria, select_server
from ebonystream.placement._wait_queue import WaitQueues

__all__ = (
    'Probe',
    'COLD_WINDOW',
    'ColdLimits',
    'ColdShares',
    'FindServer',
    'MayReceive',
    'SearchContext',
    'NoCapacity',
    'Candidate',
    'SelectionCriteria',
    'ProbeBudget',
    'ProbePurpose',
    'ProbeResult',
    'WaitQueues',
    'PlacementRequest',
    'ProcessingTimes',
    'PeerDemand',
    'RankDemand',
    'Reservations',
    'Reserve',
    'ReserveDecision',
    'select_server',
    'compute_cold_requests',
    'compute_probe_share',
    'list_own_cold_requests',
    'make_probe',
    'make_find_server',
    'FindIdleServer',
    'make_find_idle_server',
    'get_reserve',
    'list_usable_servers',
)
