"""Membership aggregate: the known entry hosts and their states."""

from ebonystream.membership._contents import (
    FillHeartbeat,
    HeartbeatContents,
)
from ebonystream.membership._member import ListedPeer, Member
from ebonystream.membership._membership import Membership
from ebonystream.membership._pace import Pace, choose_pace
from ebonystream.membership._ranking import choose_first, rank
from ebonystream.membership._snapshots import (
    AskSnapshot,
    Helpers,
    SharedState,
    catch_up,
    make_fetch_answer,
)
from ebonystream.membership._state import IgnoreReason, MemberState
from ebonystream.membership._table import Identity, MemberTable
from ebonystream.membership._telling import LoadRevisions
from ebonystream.membership._tombstones import Tombstones
from ebonystream.membership._views import MemberView
from ebonystream.membership._watching import Links, watch_members

__all__ = (
    'AskSnapshot',
    'FillHeartbeat',
    'HeartbeatContents',
    'Helpers',
    'Identity',
    'IgnoreReason',
    'Links',
    'ListedPeer',
    'LoadRevisions',
    'Member',
    'MemberState',
    'MemberTable',
    'MemberView',
    'Membership',
    'Pace',
    'SharedState',
    'Tombstones',
    'catch_up',
    'choose_first',
    'choose_pace',
    'make_fetch_answer',
    'rank',
    'watch_members',
)
