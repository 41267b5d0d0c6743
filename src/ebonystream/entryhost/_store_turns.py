"""When this host reads the store itself.

The leader of a zone reads it all the time. Any other host does so if its copy
has become stale, and after a failed read until the store responds to it again,
at a pace that it shares with its zone while the store fails.
"""

import enum

import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._lease import is_lease_ending, is_store_needed
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_pacing import (
    RETRY_DELAY,
    compute_retry_delay,
    is_store_failing,
)

LEADER_START_WAIT = Seconds(0.02)
"""How long a host that has just started leaves it to its peers to provide
what they have read, if it takes itself for the leader of its zone."""

START_WAIT = Seconds(1)
"""How long any other host does."""

LEADER_CHECK_PERIOD = Seconds(0.2)
"""How often a host checks whether it has to read the store, in seconds."""

START_CHECK_PERIOD = Seconds(0.02)
"""How often it does so until it has orders and entries."""


class StoreCopy(enum.Enum):
    """What a host keeps of the store.

    The value is the age in seconds above which a host that is not the leader of
    its zone reads it itself.
    """

    SERVERS = 1.8
    ORDERS = 4.5


async def wait_for_turn(
    parts: HostParts, copy: StoreCopy, *, is_lost: bool
) -> bool:
    """Wait for the next check; return whether to read the store now.

    Args:
        parts: The state of the host.
        copy: What would be read.
        is_lost: Whether the last read failed, after which `wait_to_retry` has
            been called.
    """
    if is_lost:
        return True
    if not must_read(parts, copy):
        is_started = parts.has_read()
        await parts.timers.wait(
            LEADER_CHECK_PERIOD if is_started else START_CHECK_PERIOD
        )
        return False
    now = parts.timers.now()
    if parts.facts.is_leader(now) or not is_store_failing(parts.facts, now):
        return True
    if copy is StoreCopy.ORDERS and is_lease_ending(parts):
        return True
    await wait_to_retry(parts)
    return must_read(parts, copy)


async def wait_to_retry(parts: HostParts) -> None:
    """Wait until the store is read again after it has failed.

    A host that becomes the leader of its zone meanwhile waits no longer than a
    leader, and neither does one that needs a response that others get.

    Args:
        parts: The state of the host.
    """
    delay = compute_retry_delay(parts.facts, parts.timers.now(), parts.random)
    with trio.move_on_after(delay):
        while True:
            await parts.timers.wait(RETRY_DELAY)
            if parts.facts.is_leader(parts.timers.now()):
                return
            if is_store_needed(parts):
                return


def must_read(parts: HostParts, copy: StoreCopy) -> bool:
    """Return whether this host needs a new copy from the store.

    Args:
        parts: The state of the host.
        copy: What would be read.
    """
    is_orders = copy is StoreCopy.ORDERS
    if is_orders and is_lease_ending(parts) and parts.has_read():
        return True
    read_at = _get_read_time(parts, copy)
    now = parts.timers.now()
    is_leader = parts.facts.is_leader(now)
    if read_at is None:
        wait = LEADER_START_WAIT if is_leader else START_WAIT
        return now - parts.started_at >= wait
    return is_leader or now - read_at > copy.value


def _get_read_time(parts: HostParts, copy: StoreCopy) -> Monotonic | None:
    if copy is StoreCopy.ORDERS:
        return parts.orders.confirmed_at
    return parts.roster.last_listed_at
