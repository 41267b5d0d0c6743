"""An entry host on the users' platform: its settings, tasks and wiring."""

from ebonystream.entryhost._settings import HostSettings, SharedBounds

__all__ = ('HostSettings', 'SharedBounds')
