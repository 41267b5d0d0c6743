"""Which route of a plan a request matches."""

import pytest
from control_records import LISTS
from pydantic import ValidationError

from ebonystream.configuration import Lists, index_lists


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
    'itself': (('/racks',), '/racks', '/racks'),
    'below it': (('/racks',), '/racks/7', '/racks'),
    'a longer word is another path': (('/racks',), '/racksale', None),
    'the longest prefix counts': (
        ('/racks', '/racks/7/'),
        '/racks/7/photos',
        '/racks/7/',
    ),
    'with a slash at the end': (('/racks/',), '/racks/7', '/racks/'),
    'nothing': (('/racks',), '/', None),
}


@pytest.mark.parametrize(
    ('prefixes', 'path', 'route'), MATCHES.values(), ids=MATCHES.keys()
)
def test_matches(prefixes, path, route):
    table = index_lists(Lists.model_validate(make_lists(*prefixes)))
    found = table.find_route(table.find_plan('verein'), 'GET', path)
    assert (found and found.route) == route


@pytest.mark.parametrize('method', ['HEAD', 'CONNECT', 'get', ''])
def test_methods_that_no_route_may_have(method):
    with pytest.raises(ValidationError):
        Lists.model_validate(make_lists('/racks', method=method))
