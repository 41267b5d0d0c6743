"""Measures the cost of the configuration."""

from functools import partial

import msgspec

from ebonystream._ids import (
    ConfigurationVersion,
    EpochMs,
    Offset,
    RequestId,
)
from ebonystream.configuration import ControlReplica, Publish
from ebonystream.logservice import LogPage, LogRecord
from slopes.fit import Line, fit_line
from slopes.meter import measure_cpu_us, measure_memory

CUSTOMER_COUNTS = (250, 1000, 4000, 16_000)
CUSTOMERS_PER_PLAN = 100
ROUTES_PER_PLAN = 6
RECORDS_A_RUN = 4


def measure_control() -> list[Line]:
    """Measure the fold of a publish, its memory, log record and snapshot."""
    against = 'customers'
    bodies = [_encode_publish(count) for count in CUSTOMER_COUNTS]
    memory_sizes = [measure_memory(partial(_fold, body)) for body in bodies]
    times = [measure_cpu_us(partial(_fold, body)) for body in bodies]
    snapshot_sizes = [
        len(_fold(body).take_snapshot() or b'') for body in bodies
    ]
    record_sizes = [len(body) for body in bodies]
    counts = CUSTOMER_COUNTS
    return [
        fit_line('fold of one publish', 'us', against, counts, times),
        fit_line(
            'configuration memory', 'bytes', against, counts, memory_sizes
        ),
        fit_line('publish record', 'bytes', against, counts, record_sizes),
        fit_line('snapshot', 'bytes', against, counts, snapshot_sizes),
    ]


def _fold(body: bytes) -> ControlReplica:
    control = ControlReplica()
    record = LogRecord(Offset(0), EpochMs(0), body)
    control.apply_page(LogPage(Offset(0), Offset(1), (record,)))
    return control


def _encode_publish(customers: int) -> bytes:
    plans = max(1, customers // CUSTOMERS_PER_PLAN)
    lists = {
        'customers': [
            _make_customer(number, plans) for number in range(customers)
        ],
        'plans': [_make_plan(number) for number in range(plans)],
    }
    return msgspec.json.encode(
        Publish(RequestId('request-1'), ConfigurationVersion(0), lists)
    )


def _make_plan(number: int) -> dict[str, object]:
    return {
        'plan': f'plan-{number}',
        'plan_class': 'promised',
        'calls_per_second': 100,
        'burst_calls': 10,
        'deadline_ms': 500,
        'routes': [
            {
                'route': f'route-{route}',
                'service': f'service-{number}',
                'method': 'GET',
                'path_prefix': f'/service-{number}/route-{route}/',
                'once': False,
            }
            for route in range(ROUTES_PER_PLAN)
        ],
    }


def _make_customer(number: int, plans: int) -> dict[str, str]:
    return {
        'customer': f'customer-{number}',
        'plan': f'plan-{number % plans}',
    }
