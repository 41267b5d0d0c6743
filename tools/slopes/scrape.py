"""Reads the metrics of running entry hosts."""

import re
from collections.abc import Mapping

from standins.client import connect, fetch
from standins.cluster import LOOPBACK, EntryHost

LINE = re.compile(r'^(?P<name>ebonystream_\w+)(\{\})? (?P<figure>\S+)$')

Figures = Mapping[str, float]
"""Figures without labels, by name."""


async def read_figures(entry: EntryHost) -> Figures:
    """Read the figures of one entry host.

    Args:
        entry: The host.
    """
    client = await connect(LOOPBACK, entry.admin_port)
    async with client.stream:
        reply = await fetch(client, 'GET', '/metrics')
    found = map(LINE.match, reply.body.decode().splitlines())
    return {match['name']: float(match['figure']) for match in found if match}
