"""Pace of reading the store while it fails for many hosts.

In an outage the copies of all hosts become stale at the same time. If each host
then read the store for itself, the calls to it would grow with the number of
hosts and with the length of the outage.
"""

from random import Random

from ebonystream._ids import Monotonic, Seconds
from ebonystream.gossip import HostFactTable

RETRY_DELAY = Seconds(0.5)
"""Mean interval between the reads of a zone whose reads fail, in seconds."""

MIN_FAILING_HOSTS = 2
"""Hosts of a zone to which the store does not respond from which on others
pace their first read as well."""

MAX_DELAY_FACTOR = 1.5
MIN_DELAY_FACTOR = 0.5


def compute_retry_delay(
    table: HostFactTable, now: Monotonic, random: Random
) -> Seconds:
    """Compute the delay before this host reads the store after a failure.

    The leader of a zone retries at the mean interval. The other hosts of the
    zone share one more read in each interval, so that a host that has lost its
    peers, and sees no others, retries as often as the leader.

    Args:
        table: The newest facts of the hosts.
        now: The current time.
        random: Spreads the reads of the hosts.
    """
    if table.is_leader(now):
        return RETRY_DELAY
    hosts = len(table.list_candidates(table.local_zone, now))
    spread = random.uniform(MIN_DELAY_FACTOR, MAX_DELAY_FACTOR)
    return Seconds(RETRY_DELAY * max(1, hosts * spread))


def is_store_failing(table: HostFactTable, now: Monotonic) -> bool:
    """Return whether the store does not respond to other hosts of the zone.

    Args:
        table: The newest facts of the hosts.
        now: The current time.
    """
    failing = [
        facts
        for facts in table.list_candidates(table.local_zone, now)
        if facts.store_unreachable and facts.host != table.local_host
    ]
    return len(failing) >= MIN_FAILING_HOSTS
