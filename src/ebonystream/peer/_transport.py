"""Interface of the transport between entry hosts."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import HostId

SendBytes = Callable[[HostId, bytes], None]
"""Send a message to a connected peer, without waiting or retrying; it is
dropped if the queue is full."""

ReceiveBytes = Callable[[], Awaitable[bytes]]
"""Wait for the next message of any peer."""

ConnectPeer = Callable[[HostId, str, int], None]
"""Connect to a peer at an IP address and port; another address of the same
peer replaces the previous one."""

DisconnectPeer = Callable[[HostId], None]
"""Close the connection to a peer, and drop the messages queued for it."""

CountDropped = Callable[[], int]
"""Return the total number of messages that the transport dropped."""


def count_none() -> int:
    """Return 0, for a transport that drops no messages."""
    return 0


@attrs.frozen(kw_only=True)
class Transport:
    """Transport of bytes between entry hosts.

    Attributes:
        send: Sends a message to a peer.
        receive: Waits for the next message of any peer.
        connect: Opens the connection to a peer.
        disconnect: Closes the connection to a peer.
        count_dropped: Returns the number of messages dropped on this host.
    """

    send: SendBytes
    receive: ReceiveBytes
    connect: ConnectPeer
    disconnect: DisconnectPeer
    count_dropped: CountDropped = count_none
