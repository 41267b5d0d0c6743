"""The transport between entry hosts, whatever carries it."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import HostId

SendBytes = Callable[[HostId, bytes], None]
"""Sends to a connected peer, best effort: it never waits, and drops what does
not fit in the queue."""

ReceiveBytes = Callable[[], Awaitable[bytes]]
"""Waits for what any peer sent next."""

ConnectPeer = Callable[[HostId, str, int], None]
"""Opens the way to a peer at an IP number and port; another address of the
same peer replaces the earlier one."""

DisconnectPeer = Callable[[HostId], None]
"""Closes the way to a peer; what is queued for it is dropped."""

CountLost = Callable[[], int]
"""Tells how many messages the transport dropped so far."""


def count_nothing() -> int:
    """Tell that nothing was dropped, for a transport that drops nothing."""
    return 0


@attrs.frozen(kw_only=True)
class Transport:
    """What carries bytes between entry hosts.

    Attributes:
        send: Sends to a peer.
        receive: Waits for what any peer sent.
        connect: Opens the way to a peer.
        disconnect: Closes it.
        count_lost: Tells how many messages were dropped here.
    """

    send: SendBytes
    receive: ReceiveBytes
    connect: ConnectPeer
    disconnect: DisconnectPeer
    count_lost: CountLost = count_nothing
