"""Dispatch of requests to backend servers, with retries."""

from ebonystream.dispatch._attempt import (
    Attempt,
    SendAttempt,
    make_send_attempt,
)
from ebonystream.dispatch._budget import RetryBudget, RetryLimits
from ebonystream.dispatch._first_request import FirstRequestEstimator
from ebonystream.dispatch._handler import HandleRequest, make_handle_request
from ebonystream.dispatch._hedge_rules import (
    HedgeDecision,
    HedgeEnd,
    HedgeRules,
)
from ebonystream.dispatch._progress import (
    Dispatcher,
    ObserveAttempt,
    RequestProgress,
    SendRefusal,
    get_deadline,
)

__all__ = (
    'Attempt',
    'Dispatcher',
    'ObserveAttempt',
    'FirstRequestEstimator',
    'HedgeDecision',
    'HedgeEnd',
    'HedgeRules',
    'RetryBudget',
    'RetryLimits',
    'SendAttempt',
    'SendRefusal',
    'RequestProgress',
    'get_deadline',
    'HandleRequest',
    'make_send_attempt',
    'make_handle_request',
)
