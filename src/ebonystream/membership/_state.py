"""The states of a member, and why a heartbeat is ignored."""

import enum


class MemberState(enum.Enum):
    """How an entry host stands, seen from this host."""

    LISTED = 'listed'
    """The host list names it, and it was not heard yet."""

    REACHABLE = 'reachable'
    """It is heard, and it hears this host."""

    UNREACHABLE = 'unreachable'
    """It was reachable and is silent, or does not hear this host."""

    LEAVING = 'leaving'
    """It is heard, and it or the host list says that it is stopping."""

    GONE = 'gone'
    """It said that it leaves, and fell silent: it has ended."""


class IgnoreReason(enum.Enum):
    """Why a heartbeat is ignored; each is counted under its reason."""

    UNLISTED = 'unlisted'
    """The host list has not named its host, so nobody knows its address."""

    GONE = 'gone'
    """Its incarnation was seen as gone."""

    TAKEN = 'taken'
    """Its incarnation is that of another host."""

    OLD = 'old'
    """A newer one of the same incarnation came before: late or doubled."""

    UNKNOWN_LOADS = 'unknown_loads'
    """It tells its loads by a revision that this host does not know."""

    FALSE_ECHO = 'false_echo'
    """It claims to have heard what was never sent."""
