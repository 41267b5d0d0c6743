"""Builders of control records, for the tests of the control stream."""

import msgspec

from ebonystream.configuration import Checkpoint, Publish
from ebonystream.logservice import LogRecord
from ebonystream.move import (
    CloseMove,
    RequestVersionMove,
    RequestZoneMove,
    RollBackMove,
    VerdictKind,
    ZoneDirection,
)

LISTS = {
    'customers': [{'customer': 'verein', 'plan': 'gold'}],
    'plans': [
        {
            'plan': 'gold',
            'plan_class': 'promised',
            'calls_per_second': 50,
            'burst_calls': 10,
            'deadline_ms': 500,
            'routes': [
                {
                    'route': 'racks',
                    'service': 'inspections',
                    'method': 'GET',
                    'path_prefix': '/racks',
                    'once': False,
                }
            ],
        }
    ],
}
FAULTY = {**LISTS, 'customers': [{'customer': 'verein', 'plan': 'silver'}]}


def publish(request, based_on, lists=None):
    """Build a publish of both lists."""
    return Publish(request, based_on, LISTS if lists is None else lists)


def out(request, zone='a'):
    """Build a request to evacuate a zone."""
    return RequestZoneMove(request, zone, ZoneDirection.OUT)


def back(request, zone='a'):
    """Build a request to return a zone to use."""
    return RequestZoneMove(request, zone, ZoneDirection.BACK)


def version(request, old='v1', new='v2', service='scans', finish_by=9000):
    """Build a request to move a service to another version."""
    return RequestVersionMove(request, service, old, new, finish_by)


def take_back(request, move):
    """Build an operator's request to roll back a move."""
    return RollBackMove(request, move, 'an operator said so')


def finish(request, move):
    """Build the verdict that a move is finished."""
    return CloseMove(request, move, VerdictKind.FINISHED, 'done')


def close_rolled_back(request, move):
    """Build the verdict that a move is rolled back."""
    return CloseMove(request, move, VerdictKind.ROLLED_BACK, 'it fails')


def checkpoint(state):
    return Checkpoint(state)


def to_record(offset, record):
    """Build a log record from a control record or from its encoded body."""
    body = record if isinstance(record, bytes) else msgspec.json.encode(record)
    return LogRecord(offset=offset, at_ms=1000 + offset, body=body)


def fold_all(control, records, start=0):
    """Apply records at consecutive offsets; return the control replica."""
    for offset, record in enumerate(records, start):
        control.fold(to_record(offset, record))
    return control
