"""Hedging: when a late request gets a second attempt, and when not."""

from ebonystream.hedging._budget import HedgeBudget
from ebonystream.hedging._decision import (
    HedgeFigures,
    HedgeRefusal,
    compute_hedge_delay,
    find_refusal,
)
from ebonystream.hedging._lateness import (
    Lateness,
    LatenessEstimate,
    choose_quantile,
)

__all__ = (
    'HedgeBudget',
    'HedgeFigures',
    'HedgeRefusal',
    'Lateness',
    'LatenessEstimate',
    'choose_quantile',
    'compute_hedge_delay',
    'find_refusal',
)
