"""Why a call went where it went."""

import enum


class ChoiceReason(enum.Enum):
    """Why a call went where it went."""

    OWN_ZONE = 'own_zone'
    SPILLED = 'spilled'
    OVERLAP = 'overlap'
    """All slots are busy: the call fills the gap between two others."""

    TRIAL = 'trial'
    """A server that was slow gets one call to show that it recovered."""
