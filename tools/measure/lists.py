"""The plans of the measured customers."""

from collections.abc import Mapping
from types import MappingProxyType

from ebonystream.configuration import PlanLists
from measure.load import CUSTOMERS, Load
from measure.world import SLOTS

GUARANTEES: Mapping[str, float] = MappingProxyType(
    {
        'promised-1': 0.35,
        'promised-2': 0.35,
        'standard-1': 0.3,
        'noisy': 0.1,
        'spare-1': 0.2,
    }
)
"""The guaranteed rate of each customer, against the capacity."""

BURST_SECONDS = 0.25
"""A burst is this many seconds of the guaranteed rate."""


def make_lists(load: Load) -> PlanLists:
    """Make the operators' lists for a load."""
    capacity = load.site.servers * SLOTS / load.site.mean
    route = {
        'route': 'route',
        'service': 'service',
        'method': 'GET',
        'path_prefix': '/',
        'once': False,
    }
    return PlanLists.model_validate(
        {
            'customers': [
                {'customer': one[0], 'plan': one[0]} for one in CUSTOMERS
            ],
            'plans': [
                {
                    'plan': name,
                    'plan_class': plan_class,
                    'calls_per_second': GUARANTEES[name] * capacity,
                    'burst_calls': max(
                        10, round(GUARANTEES[name] * capacity * BURST_SECONDS)
                    ),
                    'deadline_ms': 1000,
                    'routes': [route],
                }
                for name, plan_class, _ in CUSTOMERS
            ],
        }
    )
