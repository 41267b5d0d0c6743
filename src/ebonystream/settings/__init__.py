"""Settings of an entry host: JSON, fully validated before anything starts."""

from ebonystream.settings._file import (
    SettingsError,
    SettingsFault,
    list_faults,
    read_settings,
)
from ebonystream.settings._settings import (
    AdminSettings,
    BackendSettings,
    CallerSettings,
    HostListSettings,
    HostSettings,
    LogSettings,
    OwnershipSettings,
    PeerSettings,
    Settings,
)

__all__ = (
    'AdminSettings',
    'BackendSettings',
    'CallerSettings',
    'HostListSettings',
    'HostSettings',
    'LogSettings',
    'OwnershipSettings',
    'PeerSettings',
    'Settings',
    'SettingsError',
    'SettingsFault',
    'list_faults',
    'read_settings',
)
