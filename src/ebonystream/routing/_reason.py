"""Reasons for the selection of a slot."""

import enum


class ChoiceReason(enum.Enum):
    """Why a slot was selected for a call."""

    OWN_ZONE = 'own_zone'
    """The server is in the host's zone."""

    SPILLED = 'spilled'
    """The server is in another zone, as the host's zone had no usable slot."""

    OVERLAP = 'overlap'
    """The server is busy: the call queues there until another ends."""

    TRIAL = 'trial'
    """The call tests whether a slow server has recovered."""
