"""The decision whether a late request is hedged, without a network."""

import math

import pytest

from ebonystream.entryhost._hedging import read_hedge_ratio
from ebonystream.hedging import (
    HedgeBudget,
    HedgeFigures,
    HedgeRefusal,
    Lateness,
    choose_quantile,
    compute_hedge_delay,
    find_refusal,
)


@pytest.mark.parametrize(
    ('changes', 'refusal'),
    [
        ({}, None),
        ({'repeatable': False}, HedgeRefusal.NOT_REPEATABLE),
        ({'sent': False}, HedgeRefusal.NOT_SENT),
        ({'attempts_left': 0}, HedgeRefusal.ATTEMPTS),
        ({'time_left': 0.1}, HedgeRefusal.TOO_LATE),
        ({'time_left': -1}, HedgeRefusal.TOO_LATE),
        ({'is_short': True}, HedgeRefusal.SHORTAGE),
        ({'within_limit': False}, HedgeRefusal.LIMIT),
        # A request that may run once is refused for this reason first.
        ({'repeatable': False, 'sent': False}, HedgeRefusal.NOT_REPEATABLE),
    ],
)
def test_refusals(changes, refusal):
    fields = {
        'attempts_left': 1,
        'expected': 0.1,
        'time_left': 1,
        'is_short': False,
        'within_limit': True,
    }
    assert find_refusal(HedgeFigures(**{**fields, **changes})) is refusal


@pytest.mark.parametrize(
    ('samples', 'route', 'lateness'),
    [
        ([], 'r', None),
        ([('r', 1, 0)] * 19, 'r', None),
        ([('r', 2, 0)] * 19 + [('r', 9, 0)], 'r', 9),
        ([('r', 2, 0)] * 95 + [('r', 9, 0)] * 5, 'r', 9),
        ([('r', 2, 0)] * 97 + [('r', 9, 0)] * 3, 'r', 2),
        # Responses that are faster than expected make no request late.
        ([('r', 0.1, 0)] * 50, 'r', 2),
        # Only samples of the newest kind count: 120 s, 100 of a route.
        ([('r', 2, -200)] * 50, 'r', None),
        ([('r', 9, 0)] * 100 + [('r', 2, 0)] * 100, 'r', 2),
        # Routes of the service with too few samples are judged together.
        ([('r', 2, 0)] * 10 + [('s', 3, 0)] * 10, 'r', 3),
        ([('r', 2, 0)] * 20 + [('s', 9, 0)] * 20, 'r', 2),
    ],
)
def test_lateness(samples, route, lateness):
    known = Lateness()
    for name, ratio, at in samples:
        known.record('records', name, ratio, at)
    estimate = known.estimate('records', route, 1.0)
    assert (estimate and estimate.lateness) == lateness
    assert known.estimate('desk', route, 1.0) is None


@pytest.mark.parametrize(
    ('ratio', 'quantile'), [(0.05, 0.95), (0.001, 0.98), (1, 0.8)]
)
def test_as_many_are_late_as_may_be_hedged(ratio, quantile):
    assert choose_quantile(ratio) == quantile


@pytest.mark.parametrize(
    ('expected', 'lateness', 'delay'), [(0.1, 3, 0.3), (0.2, 1.5, 0.3)]
)
def test_delay(expected, lateness, delay):
    assert compute_hedge_delay(expected, lateness) == pytest.approx(delay)


@pytest.mark.parametrize(
    ('hosts', 'requests', 'ratio'),
    [(1, 1000, 0.05), (100, 30, 0.05), (48, 180, 0.01), (3, 10, 1), (9, 9, 0)],
)
def test_hedges_stay_within_their_share_over_all_hosts(hosts, requests, ratio):
    """Guards against hosts with few requests that exceed the share together."""
    sent = 0
    for _ in range(hosts):
        budget = HedgeBudget(ratio)
        for _ in range(requests):
            budget.record_first_attempt('records')
            if budget.has_hedge('records'):
                budget.take_hedge('records')
                sent += 1
    assert sent <= ratio * hosts * requests
    assert sent >= math.floor(ratio * requests - 0.01) * hosts


def test_a_calm_time_allows_no_burst_of_hedges():
    budget = HedgeBudget(0.1)
    for _ in range(1000):
        budget.record_first_attempt('records')
    sent = 0
    while budget.has_hedge('records'):
        budget.take_hedge('records')
        sent += 1
    assert sent == 2
    assert not budget.has_hedge('desk')


@pytest.mark.parametrize(
    ('text', 'ratio'),
    [(None, 0), ('', 0), ('0', 0), ('0.05', 0.05), (' 1 ', 1)],
)
def test_setting(text, ratio):
    environment = {} if text is None else {'EBONYSTREAM_HEDGE_RATIO': text}
    assert read_hedge_ratio(environment) == ratio


@pytest.mark.parametrize('text', ['-0.1', '1.1', 'nan', 'inf', 'x', '5%'])
def test_an_invalid_setting_ends_the_start(text):
    with pytest.raises(ValueError, match='EBONYSTREAM_HEDGE_RATIO'):
        read_hedge_ratio({'EBONYSTREAM_HEDGE_RATIO': text})
