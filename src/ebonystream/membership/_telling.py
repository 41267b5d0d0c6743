"""Telling a peer only of loads that it does not know yet.

Loads are numbered: each change of them brings the next revision, which no other
loads of the same incarnation ever get. A peer names in its heartbeats the
revision that it knows whole, and is told that revision by its number alone.
"""

from collections.abc import Callable

import attrs
import msgspec

from ebonystream.membership._contents import HeartbeatContents
from ebonystream.peer import Heartbeat, ServerLoad

UNNUMBERED = 0
"""The revision of loads that are always told whole."""


@attrs.define
class LoadRevisions:
    """Numbers the loads of this incarnation.

    Attributes:
        report: Gives the loads as they are now.
        loads: The loads that were reported last.
        revision: Their number.
    """

    report: Callable[[], tuple[ServerLoad, ...]]
    loads: tuple[ServerLoad, ...] = ()
    revision: int = UNNUMBERED

    def fill(self, contents: HeartbeatContents) -> HeartbeatContents:
        """Give contents with the loads of now and their revision.

        Args:
            contents: All else that a heartbeat tells.
        """
        loads = self.report()
        if loads != self.loads or self.revision == UNNUMBERED:
            self.loads = loads
            self.revision += 1
        return msgspec.structs.replace(
            contents, loads=loads, revision=self.revision
        )


def shorten(heartbeat: Heartbeat, newest: Heartbeat | None) -> Heartbeat:
    """Leave loads out that the receiver knows.

    Args:
        heartbeat: What is told, whole.
        newest: What was heard last of the receiver, of any incarnation.
    """
    assert heartbeat.whole, 'a heartbeat was shortened twice'
    if newest is None or heartbeat.revision == UNNUMBERED:
        return heartbeat
    if newest.recipient != heartbeat.incarnation:
        return heartbeat
    if newest.known != heartbeat.revision:
        return heartbeat
    return msgspec.structs.replace(heartbeat, loads=(), whole=False)


def complete(
    heartbeat: Heartbeat, newest: Heartbeat | None
) -> Heartbeat | None:
    """Give a heartbeat with its loads, or None where they are not known.

    Args:
        heartbeat: What came.
        newest: What was heard last of its host, whole.
    """
    if heartbeat.whole:
        return heartbeat
    if newest is None or newest.incarnation != heartbeat.incarnation:
        return None
    if newest.revision != heartbeat.revision:
        return None
    assert newest.whole, 'a heartbeat was kept without its loads'
    return msgspec.structs.replace(heartbeat, loads=newest.loads, whole=True)
