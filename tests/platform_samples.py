"""Sample servers, routes and requests for the tests of the entry host."""

from ebonystream._address import ServerAddress
from ebonystream._calls import CallKind
from ebonystream._ids import Monotonic
from ebonystream.placement import ProbeResult
from ebonystream.request import Request
from ebonystream.roster import (
    EntryState,
    HealthReport,
    KnownServer,
    LoadReport,
    ServerEntry,
)
from ebonystream.route import Route, Share


def make_entry(name='i-1', **changes):
    """Make the roster entry of a server that is serving."""
    fields = {
        'id': name,
        'at': ServerAddress('10.0.0.1', 80),
        'service': 'records',
        'zone': 'a',
        'version': 'v1',
        'slots': 2,
        'state': EntryState.SERVING,
        'cold': 0,
        'started': 1000,
    }
    return ServerEntry(**{**fields, **changes})


def make_known(name='i-1', **changes):
    """Make a known server with the entry that `make_entry` makes."""
    entry = make_entry(name, **changes)
    return KnownServer(entry=entry, first_listed_at=0.0, last_listed_at=0.0)


def make_probe_result(name, load):
    """Make a probe result with a load of (running, waiting, slots, pace).

    If the load is None, the server did not respond.
    """
    report = None
    if load is not None:
        running, waiting, slots, pace = load
        report = HealthReport(
            healthy=True,
            server_id=name,
            cold_left=None,
            load=LoadReport(
                running=running, waiting=waiting, slots=slots, pace=pace
            ),
        )
    return ProbeResult(make_known(name), report, Monotonic(0.0))


def make_route(**changes):
    """Make a route of idempotent requests."""
    fields = {
        'name': 'racks',
        'host': 'shop.example',
        'prefix': '/racks/',
        'kind': CallKind.IDEMPOTENT,
        'timeout': 1.5,
        'objective': 0.6,
        'attempts': 2,
        'rank': 1,
        'shares': (Share('records', 1),),
    }
    return Route(**{**fields, **changes})


def make_request(**changes):
    """Make a caller's request."""
    fields = {
        'attempt_id': 'a1',
        'host': 'shop.example',
        'method': 'GET',
        'target': '/racks/7',
        'path': '/racks/7',
        'headers': (),
        'body': b'',
        'arrived_at': 0.0,
        'deadline': 1.5,
    }
    return Request(**{**fields, **changes})
