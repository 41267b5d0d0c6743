"""An entry host on the users' platform: its settings, tasks and wiring."""

from ebonystream.entryhost._settings import (
    HostLimits,
    HostSettings,
    UsageSettings,
)

__all__ = ('HostSettings', 'HostLimits', 'UsageSettings')
