"""Gauges of an entry host, read when the metrics page is requested."""

import resource
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream.entryhost._orders_watch import find_newest_peer
from ebonystream.entryhost._parts import HostParts

BYTES_PER_KIB = 1024


@attrs.frozen
class _Gauge:
    help_text: str
    read: Callable[[HostParts], float]


def _read_configuration_version(parts: HostParts) -> float:
    configuration = parts.orders.configuration
    return configuration.version if configuration else 0


def _read_proof_age(parts: HostParts) -> float:
    age = parts.orders.freshness.get_age(parts.timers.boot_now())
    return float('nan') if age is None else age


def _read_heard_end(parts: HostParts) -> float:
    peer = find_newest_peer(parts)
    return float('nan') if peer is None else peer.orders_end


def _read_peak_memory(parts: HostParts) -> float:
    return BYTES_PER_KIB * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _read_version_evidence(parts: HostParts) -> float:
    running = parts.moves.list_running()
    return max((move.evidence.get_wealth() for move in running), default=0)


def _read_duty(parts: HostParts, name: str) -> float:
    if parts.usage is None:
        return 0
    facts = parts.usage.make_facts(parts.timers.boot_now())
    return float(getattr(facts, name))


def _read_unreported(parts: HostParts) -> float:
    return parts.usage.counted.count_unreported() if parts.usage else 0


GAUGES: Mapping[str, _Gauge] = MappingProxyType(
    {
        'ebonystream_ready': _Gauge(
            '1 where this host is ready for callers.',
            lambda parts: int(parts.is_ready()),
        ),
        'ebonystream_store_silent': _Gauge(
            '1 where the store did not answer the last question.',
            lambda parts: int(parts.store_unreachable),
        ),
        'ebonystream_configuration_version': _Gauge(
            'The configuration in force; 0 where there is none.',
            _read_configuration_version,
        ),
        'ebonystream_configuration_proof_age_seconds': _Gauge(
            'Since the store was asked whether the orders are the newest.',
            _read_proof_age,
        ),
        'ebonystream_store_era': _Gauge(
            'The era of the store that the orders were read in.',
            lambda parts: parts.orders.position.era,
        ),
        'ebonystream_orders_end': _Gauge(
            'Offset up to which this host has the orders.',
            lambda parts: parts.orders.end,
        ),
        'ebonystream_orders_heard_end': _Gauge(
            'The highest such offset that living peers told; NaN without them.',
            _read_heard_end,
        ),
        'ebonystream_servers_known': _Gauge(
            'Backend servers that are known.',
            lambda parts: len(parts.roster.servers),
        ),
        'ebonystream_records_unreadable': _Gauge(
            'Records in the store that cannot be decoded.',
            lambda parts: parts.unreadable_records.count(),
        ),
        'ebonystream_requests_serving': _Gauge(
            'Requests that are being answered.',
            lambda parts: parts.caller_connections.active_requests,
        ),
        'ebonystream_requests_waiting': _Gauge(
            'Requests that wait for room.',
            lambda parts: parts.wait_queues.count(),
        ),
        'ebonystream_caller_connections': _Gauge(
            'Open connections from callers.',
            lambda parts: parts.caller_connections.open_count,
        ),
        'ebonystream_server_connections_total': _Gauge(
            'Connections opened to backend servers so far.',
            lambda parts: parts.server_pool.opened_count,
        ),
        'ebonystream_response_buffer_peak_bytes': _Gauge(
            'The most memory that responses took while they were received.',
            lambda parts: parts.response_buffers.peak_bytes,
        ),
        'ebonystream_log_lines_dropped_total': _Gauge(
            'Log lines that found no room.',
            lambda parts: parts.log_buffer.total_drops,
        ),
        'ebonystream_client_memory_bytes': _Gauge(
            'Bytes that are held or reserved for callers.',
            lambda parts: parts.caller_connections.budget.book.used_bytes,
        ),
        'ebonystream_client_memory_peak_bytes': _Gauge(
            'The most bytes that were held or reserved for callers.',
            lambda parts: parts.caller_connections.budget.book.peak_bytes,
        ),
        'ebonystream_memory_refusals_total': _Gauge(
            'Requests refused as they did not fit into the memory.',
            lambda parts: (
                parts.caller_connections.budget.closings.refused_requests
            ),
        ),
        'ebonystream_memory_shed_total': _Gauge(
            'Requests ended as slow while others did not fit.',
            lambda parts: (
                parts.caller_connections.budget.closings.shed_requests
            ),
        ),
        'ebonystream_connections_closed_total': _Gauge(
            'Connections of callers closed to make room.',
            lambda parts: (
                parts.caller_connections.budget.closings.closed_connections
            ),
        ),
        'ebonystream_duty_held': _Gauge(
            '1 where this host reports usage.',
            lambda parts: int(_read_duty(parts, 'acting')),
        ),
        'ebonystream_duty_token': _Gauge(
            'The newest fencing token that is known; 0 where there is none.',
            lambda parts: _read_duty(parts, 'token'),
        ),
        'ebonystream_usage_window_reported': _Gauge(
            'The newest window that is known to be reported.',
            lambda parts: _read_duty(parts, 'reported'),
        ),
        'ebonystream_usage_unreported': _Gauge(
            'Requests that this host counted in windows not reported yet.',
            _read_unreported,
        ),
        'ebonystream_usage_dropped_total': _Gauge(
            'Requests that were counted too late for the report.',
            lambda parts: parts.usage.counted.dropped if parts.usage else 0,
        ),
        'ebonystream_processor_seconds': _Gauge(
            'Processor time of this process.',
            lambda parts: time.process_time(),
        ),
        'ebonystream_memory_peak_bytes': _Gauge(
            'The most memory that this process had.',
            _read_peak_memory,
        ),
        'ebonystream_version_evidence': _Gauge(
            'The most evidence against a new version whose move is running.',
            _read_version_evidence,
        ),
    }
)
