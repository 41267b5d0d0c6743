"""Route matching: the route of a plan for a method and a path."""

import pytest
from control_records import LISTS
from pydantic import ValidationError

from ebonystream.configuration import PlanLists, make_plan_table


def make_lists(*prefixes, method='GET'):
    plan = LISTS['plans'][0]
    routes = [
        {
            **plan['routes'][0],
            'route': prefix,
            'path_prefix': prefix,
            'method': method,
        }
        for prefix in prefixes
    ]
    return {**LISTS, 'plans': [{**plan, 'routes': routes}]}


MATCHES = {
    'equal path': (('/racks',), '/racks', '/racks'),
    'path below the prefix': (('/racks',), '/racks/7', '/racks'),
    'prefix ends within a path segment': (('/racks',), '/racksale', None),
    'longest prefix wins': (
        ('/racks', '/racks/7/'),
        '/racks/7/photos',
        '/racks/7/',
    ),
    'prefix with a trailing slash': (('/racks/',), '/racks/7', '/racks/'),
    'no match': (('/racks',), '/', None),
}


@pytest.mark.parametrize(
    ('prefixes', 'path', 'route'), MATCHES.values(), ids=MATCHES.keys()
)
def test_matches(prefixes, path, route):
    table = make_plan_table(PlanLists.model_validate(make_lists(*prefixes)))
    match = table.find_route(table.find_plan('verein'), 'GET', path)
    assert (match and match.route) == route


@pytest.mark.parametrize('method', ['HEAD', 'CONNECT', 'get', ''])
def test_invalid_method(method):
    with pytest.raises(ValidationError):
        PlanLists.model_validate(make_lists('/racks', method=method))
