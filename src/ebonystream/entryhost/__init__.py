"""The entry host on the users' platform: settings, tasks and their wiring."""

from ebonystream.entryhost._settings import HostSettings, SharedBounds

__all__ = ('HostSettings', 'SharedBounds')
