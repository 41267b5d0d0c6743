"""Introduction of a host that is newly known to the others."""

from ebonystream._ids import Monotonic
from ebonystream.gossip._facts import HostFacts
from ebonystream.gossip._table import HostFactTable


def select_introduction(
    table: HostFactTable, newcomer: HostFacts, now: Monotonic
) -> list[HostFacts]:
    """Select the facts that a host which is newly known is sent.

    The leader of its zone introduces it to all hosts. Any other host names
    itself and the leader of each zone, so that the size of a reply, and the
    number of large ones, do not grow with the number of hosts.

    Args:
        table: Facts known to the local host.
        newcomer: Facts of the host.
        now: Current time.
    """
    leader = table.find_leader(newcomer.zone, now, excluded=newcomer.host)
    alive = table.list_alive(now)
    if leader is not None and leader.host == table.local_host:
        return alive
    zones = frozenset(facts.zone for facts in alive)
    leaders = [
        table.find_leader(zone, now, excluded=newcomer.host) for zone in zones
    ]
    introduced = {facts.host for facts in leaders if facts is not None}
    introduced.add(table.local_host)
    return [facts for facts in alive if facts.host in introduced]
