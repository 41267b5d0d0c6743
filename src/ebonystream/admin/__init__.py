"""The administration API of an entry host, over HTTP."""

from ebonystream.admin._answers import (
    BackendStatus,
    BackendStatuses,
    HostStatus,
    HostStatuses,
    ListsInForce,
    ServiceVersions,
    Status,
    VersionStatuses,
)
from ebonystream.admin._app import make_admin_app
from ebonystream.admin._server import serve_admin
from ebonystream.admin._verbs import AdminVerbs

__all__ = (
    'AdminVerbs',
    'BackendStatus',
    'BackendStatuses',
    'HostStatus',
    'HostStatuses',
    'ListsInForce',
    'ServiceVersions',
    'Status',
    'VersionStatuses',
    'make_admin_app',
    'serve_admin',
)
