"""Estimates of when a caller made its first request, by its time left."""

import pytest
from platform_samples import make_request, make_route

from ebonystream.dispatch import FirstRequestEstimator

ROUTE = make_route()


@pytest.mark.parametrize(
    ('before', 'timeout', 'ago'),
    [
        ([], 1.5, 0),
        ([], 0.4, 0),
        ([1.5], 1.5, 0),
        # First requests differ a little in their timeouts.
        ([1.5], 1.3, 0),
        ([1.3], 1.5, 0),
        ([1.5], 1.0, 0.38),
        ([1.0, 1.5, 1.3], 0.5, 0.88),
        ([1.5], None, 0),
    ],
)
def test_estimated_time_since_the_first_request(before, timeout, ago):
    estimator = FirstRequestEstimator()
    for previous in before:
        estimator.estimate_first_request(make_request(deadline=previous), ROUTE)
    first = estimator.estimate_first_request(
        make_request(deadline=timeout), ROUTE
    )
    assert -first == pytest.approx(ago, abs=0.02)


def test_one_long_timeout_decays():
    estimator = FirstRequestEstimator()
    estimator.estimate_first_request(make_request(deadline=60.0), ROUTE)
    for _ in range(2500):
        first = estimator.estimate_first_request(
            make_request(deadline=1.5), ROUTE
        )
    assert first == 0
