"""Gauges that are read whenever the metrics are requested."""

import resource
import time
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

from ebonystream.composition._parts import Parts
from ebonystream.metrics import ReadGauge

MEMORY_USAGE_FILE = Path('/proc/self/statm')
RESIDENT_FIELD = 1
"""Index of the resident memory in the fields of the file, in pages."""


def add_gauges(parts: Parts) -> None:
    """Add the gauges of this host to its metrics."""
    for name, read in _list_gauges(parts).items():
        parts.metrics.page.add_gauge(name, GAUGE_HELP_TEXTS[name], read)


GAUGE_HELP_TEXTS: Mapping[str, str] = MappingProxyType(
    {
        'ebonystream_processor_seconds': 'Processor time of this process.',
        'ebonystream_memory_bytes': 'Resident memory of this process.',
        'ebonystream_peer_sent_bytes': 'Bytes sent to peers.',
        'ebonystream_peer_received_bytes': 'Bytes received from peers.',
        'ebonystream_peer_frames_dropped': 'Frames dropped, in or out.',
        'ebonystream_peer_messages_lost': 'Messages that found no way.',
        'ebonystream_heartbeats_ignored': 'Heartbeats not believed.',
        'ebonystream_hosts_fit': 'Entry hosts that may get duties.',
        'ebonystream_platform_sent_bytes': 'Bytes sent to the platform.',
        'ebonystream_platform_received_bytes': 'Bytes got from the platform.',
        'ebonystream_connections_opened': 'Connections opened to servers.',
        'ebonystream_probe_milliseconds': 'Server time spent by probes.',
        'ebonystream_keys_remembered': 'Keys whose outcome is remembered.',
        'ebonystream_keys_bytes': 'Memory of remembered outcomes.',
        'ebonystream_configuration_version': 'The version in force.',
        'ebonystream_client_memory_bytes': 'Bytes held for callers.',
        'ebonystream_memory_refusals_total': 'Requests that did not fit.',
        'ebonystream_memory_shed_total': 'Slow requests ended for others.',
        'ebonystream_connections_closed_total': 'Closed to make room.',
    }
)


def _list_gauges(parts: Parts) -> Mapping[str, ReadGauge]:
    peer_traffic = parts.peer_traffic
    platform_traffic = parts.platform_traffic
    probe_budget = parts.policy.prober.budget
    drops = parts.peers.exchange.dropped_messages
    membership = parts.peers.membership
    return {
        'ebonystream_processor_seconds': time.process_time,
        'ebonystream_memory_bytes': _read_memory,
        'ebonystream_peer_sent_bytes': lambda: peer_traffic.sent_bytes,
        'ebonystream_peer_received_bytes': lambda: peer_traffic.received_bytes,
        'ebonystream_peer_frames_dropped': drops.total,
        'ebonystream_peer_messages_lost': parts.peers.transport.count_dropped,
        'ebonystream_heartbeats_ignored': membership.ignored_heartbeats.total,
        'ebonystream_hosts_fit': lambda: len(membership.table.list_eligible()),
        'ebonystream_platform_sent_bytes': lambda: platform_traffic.sent_bytes,
        'ebonystream_platform_received_bytes': lambda: (
            platform_traffic.received_bytes
        ),
        'ebonystream_connections_opened': lambda: (
            parts.server_pool.opened_count
        ),
        'ebonystream_probe_milliseconds': lambda: sum(
            probe_budget.spent_ms.values()
        ),
        'ebonystream_keys_remembered': lambda: len(parts.key_table.entries),
        'ebonystream_keys_bytes': lambda: parts.key_table.used_bytes,
        'ebonystream_configuration_version': lambda: parts.control.version,
    }


def _read_memory() -> float:
    # The peak that the operating system records is inherited from the parent
    # process, so the current value is read.
    pages = MEMORY_USAGE_FILE.read_text().split()[RESIDENT_FIELD]
    return int(pages) * resource.getpagesize()
