"""Revisions of loads, so that a peer receives unchanged loads only once.

Each change of the loads starts a new revision; an incarnation never uses a
revision number for two different loads. A peer reports in its heartbeats the
revision that it has. While the loads stay at that revision, heartbeats to the
peer carry the revision number alone.
"""

from collections.abc import Callable

import attrs
import msgspec

from ebonystream.membership._contents import HeartbeatContents
from ebonystream.peer import Heartbeat, ServerLoad

NO_REVISION = 0
"""Revision of loads that are sent in every heartbeat."""


@attrs.define
class LoadRevisions:
    """Assign revision numbers to the loads of this incarnation.

    Attributes:
        get_loads: Returns the current loads.
        loads: Loads at the last call.
        revision: Revision number of those loads.
    """

    get_loads: Callable[[], tuple[ServerLoad, ...]]
    loads: tuple[ServerLoad, ...] = ()
    revision: int = NO_REVISION

    def add_loads(self, contents: HeartbeatContents) -> HeartbeatContents:
        """Return contents with the current loads and their revision.

        Args:
            contents: Other contents of the heartbeat.
        """
        loads = self.get_loads()
        if loads != self.loads or self.revision == NO_REVISION:
            self.loads = loads
            self.revision += 1
        return msgspec.structs.replace(
            contents, loads=loads, revision=self.revision
        )


def omit_known_loads(
    heartbeat: Heartbeat, last_received: Heartbeat | None
) -> Heartbeat:
    """Return a heartbeat without its loads if the receiver has them.

    Args:
        heartbeat: Heartbeat with its loads.
        last_received: Latest heartbeat of the receiver, of any incarnation;
            None if none was received.
    """
    assert heartbeat.has_loads, 'the loads were omitted twice'
    if last_received is None or heartbeat.revision == NO_REVISION:
        return heartbeat
    if last_received.recipient != heartbeat.incarnation:
        return heartbeat
    if last_received.known_revision != heartbeat.revision:
        return heartbeat
    return msgspec.structs.replace(heartbeat, loads=(), has_loads=False)


def restore_loads(
    heartbeat: Heartbeat, previous: Heartbeat | None
) -> Heartbeat | None:
    """Return a heartbeat with its loads; None if they are not known here.

    Args:
        heartbeat: Heartbeat as it was received.
        previous: Previous heartbeat of the sender, with its loads; None if none
            was received.
    """
    if heartbeat.has_loads:
        return heartbeat
    if previous is None or previous.incarnation != heartbeat.incarnation:
        return None
    if previous.revision != heartbeat.revision:
        return None
    assert previous.has_loads, 'a heartbeat was stored without its loads'
    return msgspec.structs.replace(
        heartbeat, loads=previous.loads, has_loads=True
    )
