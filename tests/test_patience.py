"""When callers asked first, told from the time that they have left."""

import pytest
from platform_samples import make_request, make_route

from ebonystream.dispatch import FirstRequestEstimator

ROUTE = make_route()


@pytest.mark.parametrize(
    ('before', 'given', 'ago'),
    [
        ([], 1.5, 0),
        ([], 0.4, 0),
        ([1.5], 1.5, 0),
        # Callers differ a little in the time that they have at first.
        ([1.5], 1.3, 0),
        ([1.3], 1.5, 0),
        ([1.5], 1.0, 0.38),
        ([1.0, 1.5, 1.3], 0.5, 0.88),
        ([1.5], None, 0),
    ],
)
def test_how_long_ago_a_caller_asked_first(before, given, ago):
    patience = FirstRequestEstimator()
    for earlier in before:
        patience.estimate_first_request(make_request(deadline=earlier), ROUTE)
    first = patience.estimate_first_request(make_request(deadline=given), ROUTE)
    assert -first == pytest.approx(ago, abs=0.02)


def test_one_caller_with_much_time_is_forgotten():
    patience = FirstRequestEstimator()
    patience.estimate_first_request(make_request(deadline=60.0), ROUTE)
    for _ in range(2500):
        first = patience.estimate_first_request(
            make_request(deadline=1.5), ROUTE
        )
    assert first == 0
