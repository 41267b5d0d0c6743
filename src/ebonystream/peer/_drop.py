"""Why a message between entry hosts was dropped."""

import enum


class DropReason(enum.Enum):
    """Why a message was dropped; each drop is counted under its reason."""

    OVERSIZE = 'oversize'
    """It was longer than the settings allow."""

    UNKNOWN_VERSION = 'unknown_version'
    """It was of another version of the protocol."""

    MALFORMED = 'malformed'
    """It was no message of the protocol."""

    OWN_NAME = 'own_name'
    """It claims to come from this very host."""

    OTHER_RECIPIENT = 'other_recipient'
    """It answers another incarnation of this host."""

    LATE = 'late'
    """It answers nothing that is still asked: late, or a duplicate."""

    CROSSED = 'crossed'
    """It answers a request that another host was asked, or of another kind."""

    OVERLOADED = 'overloaded'
    """It asks for more at once than this host answers."""

    DECLINED = 'declined'
    """This host has no answer to it."""
