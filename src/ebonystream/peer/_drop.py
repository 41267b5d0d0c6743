"""Reasons to drop a message between entry hosts."""

import enum


class DropReason(enum.Enum):
    """Reason to drop a message; drops are counted by reason."""

    OVERSIZE = 'oversize'
    """The message is longer than the settings allow."""

    UNKNOWN_VERSION = 'unknown_version'
    """The message has another version of the protocol."""

    MALFORMED = 'malformed'
    """The bytes are no valid message of the protocol."""

    OWN_NAME = 'own_name'
    """The sender has the name of the receiving host."""

    OTHER_RECIPIENT = 'other_recipient'
    """The response is for another incarnation of this host."""

    LATE = 'late'
    """No request is pending for the response: it is late or a duplicate."""

    MISMATCHED = 'crossed'
    """The response does not match its request in sender or type."""

    OVERLOADED = 'overloaded'
    """The host is already handling the maximum number of requests."""

    NO_RESPONSE = 'declined'
    """The host has no response to the request."""
