"""Membership aggregate: the known entry hosts and their states."""

from ebonystream.membership._contents import (
    HeartbeatContents,
    MakeHeartbeatContents,
)
from ebonystream.membership._member import ListedPeer, Member
from ebonystream.membership._membership import Membership
from ebonystream.membership._ranking import choose_host, rank_hosts
from ebonystream.membership._revisions import LoadRevisions
from ebonystream.membership._sending import HeartbeatLinks, send_heartbeats
from ebonystream.membership._snapshots import (
    RequestSnapshot,
    SharedState,
    SnapshotSources,
    catch_up,
    make_snapshot_handler,
)
from ebonystream.membership._state import IgnoreReason, MemberState
from ebonystream.membership._table import Identity, MemberTable
from ebonystream.membership._timing import HeartbeatTiming, scale_timing
from ebonystream.membership._tombstones import Tombstones
from ebonystream.membership._views import MemberView

__all__ = (
    'RequestSnapshot',
    'MakeHeartbeatContents',
    'HeartbeatContents',
    'SnapshotSources',
    'Identity',
    'IgnoreReason',
    'HeartbeatLinks',
    'ListedPeer',
    'LoadRevisions',
    'Member',
    'MemberState',
    'MemberTable',
    'MemberView',
    'Membership',
    'HeartbeatTiming',
    'SharedState',
    'Tombstones',
    'catch_up',
    'choose_host',
    'scale_timing',
    'make_snapshot_handler',
    'rank_hosts',
    'send_heartbeats',
)
