"""How the probes that all hosts may send are shared among them."""

from collections.abc import Mapping

from ebonystream._ids import HostId

USED_SHARE = 0.9
"""Share of the allowed probes that is used, as hosts start with some, may not
know all of the others, and learn late what these want."""

MIN_DEMAND_SHARE = 0.2
"""Demand that each host counts with at least, relative to the mean demand."""

MIN_MEAN_DEMAND = 1.0
"""Mean demand that is counted with at least, in probes per second."""


def compute_probe_share(
    demands: Mapping[HostId, float], local_host: HostId, *, total: float
) -> float:
    """Return the probes per second that one host may send.

    The shares of all hosts add up to the total, less a margin, if they know the
    same demands. A host that wants little keeps enough to begin with.

    Args:
        demands: Probes per second that each host has wanted lately.
        local_host: Name of the local host.
        total: Probes per second that all hosts may send together.
    """
    known: dict[HostId, float] = {local_host: 0, **demands}
    mean = max(MIN_MEAN_DEMAND, sum(known.values()) / len(known))
    counted = {
        host: max(demand, MIN_DEMAND_SHARE * mean)
        for host, demand in known.items()
    }
    share = counted[local_host] / sum(counted.values())
    return total * USED_SHARE * share
