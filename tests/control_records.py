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
    return Publish(request, based_on, LISTS if lists is None else lists)


def out(request, zone='a'):
    return RequestZoneMove(request, zone, ZoneDirection.OUT)


def back(request, zone='a'):
    return RequestZoneMove(request, zone, ZoneDirection.BACK)


def version(request, old='v1', new='v2', service='scans', finish_by=9000):
    return RequestVersionMove(request, service, old, new, finish_by)


def take_back(request, move):
    return RollBackMove(request, move, 'an operator said so')


def finish(request, move):
    return CloseMove(request, move, VerdictKind.FINISHED, 'done')


def close_rolled_back(request, move):
    return CloseMove(request, move, VerdictKind.ROLLED_BACK, 'it fails')


def checkpoint(state):
    return Checkpoint(state)


def to_record(offset, record):
    body = record if isinstance(record, bytes) else msgspec.json.encode(record)
    return LogRecord(offset=offset, at_ms=1000 + offset, body=body)


def fold_all(control, records, start=0):
    for offset, record in enumerate(records, start):
        control.fold(to_record(offset, record))
    return control
