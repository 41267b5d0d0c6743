"""Dispatch of requests to backend servers, with retries."""

from ebonystream.dispatch._attempt import Attempt, Send, make_send
from ebonystream.dispatch._budget import RepeatBudget, RepeatTerms
from ebonystream.dispatch._patience import Patience
from ebonystream.dispatch._progress import Dispatcher, Observe
from ebonystream.dispatch._run import Serve, make_serve

__all__ = (
    'Attempt',
    'Dispatcher',
    'Observe',
    'Patience',
    'RepeatBudget',
    'RepeatTerms',
    'Send',
    'Serve',
    'make_send',
    'make_serve',
)
