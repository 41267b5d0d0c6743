"""Dispatch: a request's way to a backend server and back."""

from ebonystream.dispatch._attempt import (
    Attempt,
    SendAttempt,
    make_send_attempt,
)
from ebonystream.dispatch._budget import RetryBudget, RetryLimits
from ebonystream.dispatch._first_request import FirstRequestEstimator
from ebonystream.dispatch._handler import HandleRequest, make_handle_request
from ebonystream.dispatch._progress import Dispatcher, ObserveAttempt

__all__ = (
    'Attempt',
    'Dispatcher',
    'ObserveAttempt',
    'FirstRequestEstimator',
    'RetryBudget',
    'RetryLimits',
    'SendAttempt',
    'HandleRequest',
    'make_send_attempt',
    'make_handle_request',
)
