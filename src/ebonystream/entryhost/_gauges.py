"""The figures of an entry host that are read when its metrics are asked."""

import resource
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream.entryhost._parts import HostParts

KB = 1024


@attrs.frozen
class _Figure:
    doc: str
    read: Callable[[HostParts], float]


def _read_version(parts: HostParts) -> float:
    configuration = parts.orders.configuration
    return configuration.version if configuration else 0


def _read_peak_memory(parts: HostParts) -> float:
    return KB * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


FIGURES: Mapping[str, _Figure] = MappingProxyType(
    {
        'ebonystream_ready': _Figure(
            '1 where this host is ready for callers.',
            lambda parts: int(parts.is_ready()),
        ),
        'ebonystream_store_silent': _Figure(
            '1 where the store did not answer the last question.',
            lambda parts: int(parts.detached),
        ),
        'ebonystream_configuration_version': _Figure(
            'The configuration in force; 0 where there is none.',
            _read_version,
        ),
        'ebonystream_servers_known': _Figure(
            'Backend servers that are known.',
            lambda parts: len(parts.roster.servers),
        ),
        'ebonystream_requests_serving': _Figure(
            'Requests that are being answered.',
            lambda parts: parts.connections.active_requests,
        ),
        'ebonystream_requests_waiting': _Figure(
            'Requests that wait for room.',
            lambda parts: parts.lines.count(),
        ),
        'ebonystream_caller_connections': _Figure(
            'Open connections from callers.',
            lambda parts: parts.connections.open_count,
        ),
        'ebonystream_server_connections_total': _Figure(
            'Connections opened to backend servers so far.',
            lambda parts: parts.servers_pool.opened_count,
        ),
        'ebonystream_log_lines_dropped_total': _Figure(
            'Log lines that found no room.',
            lambda parts: parts.log.total_drops,
        ),
        'ebonystream_processor_seconds': _Figure(
            'Processor time of this process.',
            lambda parts: time.process_time(),
        ),
        'ebonystream_memory_peak_bytes': _Figure(
            'The most memory that this process had.',
            _read_peak_memory,
        ),
    }
)
