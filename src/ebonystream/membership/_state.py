"""States of a member, and reasons to ignore a heartbeat."""

import enum


class MemberState(enum.Enum):
    """How an entry host stands, seen from this host."""

    LISTED = 'listed'
    """The host is listed, and no incarnation of it was ever confirmed."""

    REACHABLE = 'reachable'
    """Heartbeats arrive in both directions."""

    UNREACHABLE = 'unreachable'
    """Confirmed before; now silent, or it receives no heartbeats from here."""

    LEAVING = 'leaving'
    """Heartbeats arrive, and the host or the host list announces its end."""

    GONE = 'gone'
    """The host announced that it leaves, then fell silent: it has ended."""


class IgnoreReason(enum.Enum):
    """Reason to ignore a heartbeat; counted by reason."""

    UNLISTED = 'unlisted'
    """Its host was never on the host list, so its address is unknown."""

    GONE = 'gone'
    """Its incarnation is gone."""

    INCARNATION_IN_USE = 'taken'
    """Its incarnation belongs to another host."""

    OUT_OF_ORDER = 'old'
    """Delayed or duplicated: its sequence number is not above the latest."""

    UNKNOWN_LOADS = 'unknown_loads'
    """It refers to a revision of its loads that this host does not have."""

    FALSE_ECHO = 'false_echo'
    """It echoes a sequence number that was never sent."""
