"""Reads the metrics of running entry hosts."""

import re
from collections.abc import Mapping

from standins.client import connect, fetch
from standins.cluster import LOOPBACK, EntryHost

METRIC_LINE = re.compile(r'^(?P<name>ebonystream_\w+)(\{\})? (?P<value>\S+)$')

Metrics = Mapping[str, float]
"""Values of the metrics without labels, by name."""


async def read_metrics(entry: EntryHost) -> Metrics:
    """Read the metrics of one entry host.

    Args:
        entry: The entry host.
    """
    client = await connect(LOOPBACK, entry.admin_port)
    async with client.stream:
        response = await fetch(client, 'GET', '/metrics')
    matches = map(METRIC_LINE.match, response.body.decode().splitlines())
    return {match['name']: float(match['value']) for match in matches if match}
