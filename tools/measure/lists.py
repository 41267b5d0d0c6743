"""Lists of the simulated customers and their plans."""

from collections.abc import Mapping
from types import MappingProxyType

from ebonystream.configuration import PlanLists
from measure.load import CUSTOMERS, Load
from measure.world import SLOTS

GUARANTEED_SHARES: Mapping[str, float] = MappingProxyType(
    {
        'promised-1': 0.35,
        'promised-2': 0.35,
        'standard-1': 0.3,
        'noisy': 0.1,
        'spare-1': 0.2,
    }
)
"""Guaranteed rate of each customer, as a share of the capacity."""

BURST_SECONDS = 0.25
"""Size of a burst, in seconds of the guaranteed rate."""


def make_lists(load: Load) -> PlanLists:
    """Return the operators' lists for a load."""
    capacity = load.site.server_count * SLOTS / load.site.mean_processing_time
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
                {'customer': customer[0], 'plan': customer[0]}
                for customer in CUSTOMERS
            ],
            'plans': [
                {
                    'plan': name,
                    'plan_class': plan_class,
                    'calls_per_second': GUARANTEED_SHARES[name] * capacity,
                    'burst_calls': max(
                        10,
                        round(
                            GUARANTEED_SHARES[name] * capacity * BURST_SECONDS
                        ),
                    ),
                    'deadline_ms': 1000,
                    'routes': [route],
                }
                for name, plan_class, _ in CUSTOMERS
            ],
        }
    )
